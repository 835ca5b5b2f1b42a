package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
)

// headerIdempotencyKey names the order of a request.
const headerIdempotencyKey = "Idempotency-Key"

// ServiceSwitches set the speed and the faults of the plain-service stand-in.
type ServiceSwitches struct {
	// CostMs is the service time where a request names none.
	CostMs float64 `json:"cost_ms"`
	// Slow multiplies the service time; 0 means 1.
	Slow float64 `json:"slow"`
	// Hang accepts requests and doesn't run them.
	Hang bool `json:"hang"`
	// LoseAnswers counts the next requests that run and whose connection is
	// then closed without an answer.
	LoseResponses int `json:"lose_answers"`
	// Refuse answers 503 and doesn't run the request.
	Refuse     bool `json:"refuse"`
	HealthDown bool `json:"health_down"`
}

// ServiceAnswer is the answer of a plain service.
type ServiceResponse struct {
	Key string `json:"order"`
	// Run counts the runs of this order, from 1.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// BodyDigest is the digest of the request's body.
	BodyDigest string `json:"body_digest"`
}

// ServiceCounters counts the work of a service.
type ServiceCounters struct {
	EngineCounters
	// Orders is the count of distinct orders, Doubled of those that ran twice
	// or more.
	Keys     int `json:"orders"`
	Repeated int `json:"doubled"`
}

// serviceHint is the part of a request's JSON body that the service reads.
type requestHint struct {
	CostMs float64 `json:"cost_ms"`
}

// Service is a stand-in for a plain service.
type Service struct {
	switches *switchSet[ServiceSwitches]
	batch    *batch

	mu   sync.Mutex
	runs map[string]int
}

// NewService returns a service that runs up to slots requests at once.
func NewService(slots int, switches ServiceSwitches) *Service {
	return &Service{
		switches: newSwitchSet(switches),
		batch:    newBatch(slots),
		runs:     map[string]int{},
	}
}

// Handler serves every method and path; GET /health is the health check.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		switches, _ := s.switches.get()
		if switches.HealthDown {
			writeError(w, http.StatusServiceUnavailable, "down")
		}
	})
	mux.HandleFunc("/", s.serve)
	return mux
}

// ControlHandler serves the control port.
func (s *Service) ControlHandler() http.Handler {
	mux := controlMux(s.switches, s.Counters)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	return mux
}

// Counts returns the runs of each order.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Counters returns the counters so far.
func (s *Service) Counters() ServiceCounters {
	counters := ServiceCounters{EngineCounters: s.batch.snapshot()}
	s.mu.Lock()
	defer s.mu.Unlock()
	counters.Keys = len(s.runs)
	for _, runs := range s.runs {
		if runs > 1 {
			counters.Repeated++
		}
	}
	return counters
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	switches, _ := s.switches.get()
	if switches.Refuse {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if err := s.batch.acquire(r.Context()); err != nil {
		return
	}
	finished := false
	defer func() { s.batch.release(finished) }()
	if err := s.waitWhileHung(r); err != nil {
		return
	}
	key := r.Header.Get(headerIdempotencyKey)
	// An order takes effect as it starts: from here on it counts as run.
	run := s.countRun(key)
	if err := sleep(r, milliseconds(s.costMs(r, body))); err != nil {
		return
	}
	s.loseResponse()
	finished = true
	writeJSON(w, http.StatusOK, ServiceResponse{
		Key:        key,
		Run:        run,
		Method:     r.Method,
		Path:       r.URL.Path,
		BodyDigest: Digest(body),
	})
}

func (s *Service) waitWhileHung(r *http.Request) error {
	for {
		switches, changed := s.switches.get()
		if !switches.Hang {
			return nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return r.Context().Err()
		}
	}
}

// countRun counts one run; requests without a key aren't counted by order.
func (s *Service) countRun(key string) int {
	if key == "" {
		return 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) costMs(r *http.Request, body []byte) float64 {
	switches, _ := s.switches.get()
	cost := switches.CostMs
	var hint requestHint
	// A body of another kind carries no hint.
	if json.Unmarshal(body, &hint) == nil && hint.CostMs > 0 {
		cost = hint.CostMs
	}
	if query, err := strconv.ParseFloat(r.URL.Query().Get("cost_ms"), 64); err == nil {
		cost = query
	}
	if switches.Slow > 0 {
		cost *= switches.Slow
	}
	return cost
}

func (s *Service) loseResponse() {
	lost := s.switches.update(func(switches *ServiceSwitches) bool {
		if switches.LoseResponses <= 0 {
			return false
		}
		switches.LoseResponses--
		return true
	})
	if lost {
		abortConnection()
	}
}
