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
	// MaxObjectBytes limits the request body that writes one object.
	MaxObjectBytes = 1 << 20
	// maxWatchTime limits one long poll.
	maxWatchTime = time.Minute
)

// PlatformSwitches sets the faults of a Platform.
type PlatformSwitches struct {
	// Outage rejects every call with status 503 and ends pending watches.
	Outage bool `json:"outage"`
	// DelayMs delays every call before it takes effect.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the number of writes to come that take effect and whose
	// connection is then closed without a response.
	LoseResponses int `json:"lose_answers"`
	// HistoryFrom is the oldest revision from which a watch can start.
	HistoryFrom uint64 `json:"history_from"`
	// LoseResponsesPrefix limits LoseResponses to objects whose kind/name has this
	// prefix.
	LoseResponsesPrefix string `json:"lose_answers_prefix"`
	// WritesPerSecond and ReadsPerSecond are rate limits; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// VMLagMs delays the visibility of changes to the servers' objects.
	VMLagMs int `json:"vm_lag_ms"`
}

// PlatformCounters counts the calls of a Platform by kind.
type PlatformCounters struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	List   uint64 `json:"list"`
	Watch  uint64 `json:"watch"`
	VMs    uint64 `json:"vms"`
	// Conflicts, Throttled, Unavailable and Lost count responses.
	Conflicts   uint64 `json:"conflicts"`
	Throttled   uint64 `json:"throttled"`
	Unavailable uint64 `json:"unavailable"`
	Lost        uint64 `json:"lost"`
}

// Platform is a test double of the platform's object store.
type Platform struct {
	switches     *switchSet[PlatformSwitches]
	store        *store
	vms          vmList
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter

	mu       sync.Mutex
	counters PlatformCounters
}

// NewPlatform returns a platform without objects and faults.
func NewPlatform() *Platform {
	return &Platform{
		switches:     newSwitchSet(PlatformSwitches{}),
		store:        newStore(),
		writeLimiter: rate.NewLimiter(rate.Inf, 1),
		readLimiter:  rate.NewLimiter(rate.Inf, 1),
	}
}

// Handler returns the handler of the object API.
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

// listCounter returns the function that counts a GET of a kind: as a watch, as a
// read of the servers' objects, or as a list.
func listCounter(r *http.Request) func(*PlatformCounters) {
	switch {
	case r.URL.Query().Has("watch"):
		return func(c *PlatformCounters) { c.Watch++ }
	case r.PathValue("kind") == ServersKind:
		return func(c *PlatformCounters) { c.VMs++ }
	default:
		return func(c *PlatformCounters) { c.List++ }
	}
}

// ControlHandler returns the handler of the control port.
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
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.putVerbatim)
	return mux
}

// Counters returns the current counters.
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

// applyFaults returns a handler that counts the call and applies the delay, the
// outage and the rate limit before it calls next.
func (p *Platform) applyFaults(count func(*PlatformCounters), limiter *rate.Limiter,
	perSecond func(PlatformSwitches) float64, next http.HandlerFunc,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(count)
		switches, _ := p.switches.get()
		if err := sleep(r, milliseconds(switches.DelayMs)); err != nil {
			return
		}
		// The switches are read again: an outage may have started during the delay.
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

// writeStoreError responds to a write that was not applied. The response to a
// conflict holds the current object.
func (p *Platform) writeStoreError(w http.ResponseWriter, err error, current Object) {
	if errors.Is(err, ErrNotFound) {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	p.count(func(c *PlatformCounters) { c.Conflicts++ })
	writeObject(w, http.StatusConflict, current)
}

// loseResponse aborts the connection if LoseResponses applies to the object that
// was written.
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
