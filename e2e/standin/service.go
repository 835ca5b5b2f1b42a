package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// headerIdempotencyKey is the header by which the runs of a request are counted.
const headerIdempotencyKey = "Idempotency-Key"

// ServiceSwitches sets the speed and the faults of a Service.
type ServiceSwitches struct {
	// CostMs is the service time of a request that specifies none.
	CostMs float64 `json:"cost_ms"`
	// Slow multiplies the service time; 0 means 1.
	Slow float64 `json:"slow"`
	// Hang accepts requests without running them.
	Hang bool `json:"hang"`
	// LoseResponses is the number of requests to come that run and whose connection
	// is then closed without a response.
	LoseResponses int `json:"lose_answers"`
	// Refuse rejects requests with status 503 without running them.
	Refuse     bool `json:"refuse"`
	HealthDown bool `json:"health_down"`
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Key string `json:"order"`
	// Run is the number of runs with this idempotency key, including this one.
	Run    int    `json:"run"`
	Method string `json:"method"`
	Path   string `json:"path"`
	// BodyDigest is the digest of the request body.
	BodyDigest string `json:"body_digest"`
}

// ServiceCounters counts the requests of a Service.
type ServiceCounters struct {
	EngineCounters
	// Keys is the number of distinct idempotency keys, Repeated the number of those
	// that ran at least twice.
	Keys     int `json:"orders"`
	Repeated int `json:"doubled"`
}

// requestHint is the part of a JSON request body that the service evaluates.
type requestHint struct {
	CostMs float64 `json:"cost_ms"`
}

// Service is a test double of a plain service.
type Service struct {
	instance *instance
	switches *switchSet[ServiceSwitches]
	batch    *batch

	mu   sync.Mutex
	runs map[string]int
}

// ServiceOptions configures a Service.
type ServiceOptions struct {
	// ID is the name of the server's registration with the platform, or empty.
	ID string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Cold is how long the service is cold after its start.
	Cold time.Duration
	// Switches are the initial switches.
	Switches ServiceSwitches
}

// NewService returns a service.
func NewService(options ServiceOptions) *Service {
	return &Service{
		instance: newInstance(options.ID, options.Cold),
		switches: newSwitchSet(options.Switches),
		batch:    newBatch(options.Slots),
		runs:     map[string]int{},
	}
}

// Handler returns a handler that serves every method and path. GET /health is the
// health check.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		switches, _ := s.switches.get()
		if switches.HealthDown {
			writeError(w, http.StatusServiceUnavailable, "down")
		}
	})
	mux.HandleFunc("/", s.instance.identify(s.serve))
	return mux
}

// ControlHandler returns the handler of the control port.
func (s *Service) ControlHandler() http.Handler {
	mux := controlMux(s.switches, s.Counters)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
	mux.HandleFunc("POST /cold", s.instance.serveCold)
	return mux
}

// Counts returns the number of runs for each idempotency key.
func (s *Service) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// Counters returns the current counters.
func (s *Service) Counters() ServiceCounters {
	counters := ServiceCounters{EngineCounters: s.batch.snapshot()}
	counters.InstanceCounters = s.instance.snapshot()
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
	// A request takes effect when it starts, so the run is counted before the work.
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

// countRun counts a run and returns the number of runs with this key. It does not
// count requests without a key.
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
	// A body that is not such a JSON object has no hint.
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
