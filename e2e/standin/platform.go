package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxObjectBytes bounds the body of one object.
	MaxObjectBytes = 1 << 20
	// maxWatchTime bounds one long poll.
	maxWatchTime = time.Minute
)

// PlatformSwitches are the faults of the platform stand-in.
type PlatformSwitches struct {
	// Outage answers every call with 503 and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMs delays every call, before it takes effect.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers counts the next writes that take effect and whose connection
	// is then closed without an answer.
	LoseResponses int `json:"lose_answers"`
	// HistoryFrom is the revision before which the changes are gone.
	HistoryFrom uint64 `json:"history_from"`
	// LoseAnswersPrefix limits LoseAnswers to objects whose kind/name starts
	// with it.
	LoseResponsesPrefix string `json:"lose_answers_prefix"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// VMLagMs is the lag of the servers' entries.
	VMLagMs int `json:"vm_lag_ms"`
}

// PlatformCounters counts the calls of the platform stand-in by kind.
type PlatformCounters struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	VMs    uint64 `json:"vms"`
	// Conflicts, Throttled, Unavailable and Lost count answers.
	Conflicts   uint64 `json:"conflicts"`
	Throttled   uint64 `json:"throttled"`
	Unavailable uint64 `json:"unavailable"`
	Lost        uint64 `json:"lost"`
}

// Platform is a stand-in for the platform's store.
type Platform struct {
	switches     *switchSet[PlatformSwitches]
	store        *store
	vms          vmList
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu       sync.Mutex
	counters PlatformCounters
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		switches:     newSwitchSet(PlatformSwitches{}),
		store:        newStore(),
		writeLimiter: rate.NewLimiter(rate.Inf, 1),
		readLimiter:  rate.NewLimiter(rate.Inf, 1),
	}
}

// Handler serves the store.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	read := func(count func(*PlatformCounters), next http.HandlerFunc) http.HandlerFunc {
		return p.applyFaults(count, p.readLimiter, func(s PlatformSwitches) float64 { return s.ReadsPerSecond }, next)
	}
	write := func(count func(*PlatformCounters), next http.HandlerFunc) http.HandlerFunc {
		return p.applyFaults(count, p.writeLimiter, func(s PlatformSwitches) float64 { return s.WritesPerSecond }, next)
	}
	const kind, object = "/fulmarspindle/objects/{kind}", "/fulmarspindle/objects/{kind}/{name}"
	put := func(c *PlatformCounters) { c.Put++ }
	mux.HandleFunc("GET "+object, read(func(c *PlatformCounters) { c.Get++ }, p.get))
	mux.HandleFunc("POST "+object, write(put, p.create))
	mux.HandleFunc("PUT "+object, write(put, p.replace))
	mux.HandleFunc("DELETE "+object, write(func(c *PlatformCounters) { c.Delete++ }, p.remove))
	mux.HandleFunc("GET "+kind, func(w http.ResponseWriter, r *http.Request) {
		read(listCounter(r), p.list)(w, r)
	})
	return mux
}

// countList returns how a call for the objects of a kind is counted.
func listCounter(r *http.Request) func(*PlatformCounters) {
	switch {
	case r.URL.Query().Has("watch"):
		return func(c *PlatformCounters) { c.Watch++ }
	case r.PathValue("kind") == serversKind:
		return func(c *PlatformCounters) { c.VMs++ }
	default:
		return func(c *PlatformCounters) { c.List++ }
	}
}

// ControlHandler serves the control port.
func (p *Platform) ControlHandler() http.Handler {
	mux := controlMux(p.switches, p.Counters)
	mux.HandleFunc("POST /vms", func(w http.ResponseWriter, r *http.Request) {
		var listing VMListing
		if err := json.NewDecoder(io.LimitReader(r.Body, maxControlBytes)).Decode(&listing); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		p.vms.set(listing.VMs, time.Now())
		writeJSON(w, http.StatusOK, listing)
	})
	return mux
}

// Counters returns the counters so far.
func (p *Platform) Counters() PlatformCounters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func (p *Platform) count(f func(*PlatformCounters)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.counters)
}

// admit applies delay, outage and rate limit ahead of next.
func (p *Platform) applyFaults(count func(*PlatformCounters), limiter *rate.Limiter,
	perSecond func(PlatformSwitches) float64, next http.HandlerFunc,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(count)
		switches, _ := p.switches.get()
		if err := sleep(r, milliseconds(switches.DelayMs)); err != nil {
			return
		}
		// An outage that began during the delay holds too.
		switches, _ = p.switches.get()
		if switches.Outage {
			p.writeUnavailable(w)
			return
		}
		if !allow(limiter, perSecond(switches)) {
			p.count(func(c *PlatformCounters) { c.Throttled++ })
			writeError(w, http.StatusTooManyRequests, "rate limit exceeded")
			return
		}
		next(w, r)
	}
}

func allow(limiter *rate.Limiter, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimit(rate.Limit(perSecond))
		limiter.SetBurst(int(perSecond/10) + 1)
	}
	return limiter.Allow()
}

func (p *Platform) writeUnavailable(w http.ResponseWriter) {
	p.count(func(c *PlatformCounters) { c.Unavailable++ })
	writeError(w, http.StatusServiceUnavailable, "outage")
}

// writeFailure answers a write that was not applied; a conflict with the object as
// it is.
func (p *Platform) writeStoreError(w http.ResponseWriter, err error, current Object) {
	if errors.Is(err, ErrNotFound) {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	p.count(func(c *PlatformCounters) { c.Conflicts++ })
	writeJSON(w, http.StatusConflict, current)
}

// loseAnswer aborts the connection if the answer to a write of an object is to be
// lost.
func (p *Platform) loseResponse(kind, name string) {
	lost := p.switches.update(func(s *PlatformSwitches) bool {
		if s.LoseResponses <= 0 || !strings.HasPrefix(kind+"/"+name, s.LoseResponsesPrefix) {
			return false
		}
		s.LoseResponses--
		return true
	})
	if lost {
		p.count(func(c *PlatformCounters) { c.Lost++ })
		abortConnection()
	}
}
