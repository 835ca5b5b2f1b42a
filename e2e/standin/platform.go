package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
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
	LoseAnswers int `json:"lose_answers"`
	// LoseAnswersPrefix limits LoseAnswers to keys with this prefix.
	LoseAnswersPrefix string `json:"lose_answers_prefix"`
	// WritesPerSecond and ReadsPerSecond limit the calls; 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// VMLagMs is the lag of the VM list.
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

// Platform is a stand-in for the platform's object API and VM list.
type Platform struct {
	switches *switchSet[PlatformSwitches]
	store    *store
	vms      vmList
	writes   *rate.Limiter
	reads    *rate.Limiter

	mu       sync.Mutex
	counters PlatformCounters
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		switches: newSwitchSet(PlatformSwitches{}),
		store:    newStore(),
		writes:   rate.NewLimiter(rate.Inf, 1),
		reads:    rate.NewLimiter(rate.Inf, 1),
	}
}

// Handler serves the object API and the VM list.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	read := func(count func(*PlatformCounters), next http.HandlerFunc) http.HandlerFunc {
		return p.admit(count, p.reads, func(s PlatformSwitches) float64 { return s.ReadsPerSecond }, next)
	}
	write := func(count func(*PlatformCounters), next http.HandlerFunc) http.HandlerFunc {
		return p.admit(count, p.writes, func(s PlatformSwitches) float64 { return s.WritesPerSecond }, next)
	}
	mux.HandleFunc("GET /v1/objects/{key...}", read(func(c *PlatformCounters) { c.Get++ }, p.get))
	mux.HandleFunc("PUT /v1/objects/{key...}", write(func(c *PlatformCounters) { c.Put++ }, p.put))
	mux.HandleFunc("DELETE /v1/objects/{key...}", write(func(c *PlatformCounters) { c.Delete++ }, p.remove))
	mux.HandleFunc("GET /v1/objects", read(func(c *PlatformCounters) { c.List++ }, p.list))
	mux.HandleFunc("GET /v1/watch", read(func(c *PlatformCounters) { c.Watch++ }, p.watch))
	mux.HandleFunc("GET /v1/vms", read(func(c *PlatformCounters) { c.VMs++ }, p.listVMs))
	return mux
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
func (p *Platform) admit(count func(*PlatformCounters), limiter *rate.Limiter,
	perSecond func(PlatformSwitches) float64, next http.HandlerFunc,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.count(count)
		switches, _ := p.switches.get()
		if err := wait(r, milliseconds(switches.DelayMs)); err != nil {
			return
		}
		// An outage that began during the delay holds too.
		switches, _ = p.switches.get()
		if switches.Outage {
			p.unavailable(w)
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

func (p *Platform) unavailable(w http.ResponseWriter) {
	p.count(func(c *PlatformCounters) { c.Unavailable++ })
	writeError(w, http.StatusServiceUnavailable, "outage")
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	obj, err := p.store.get(r.PathValue("key"))
	if err != nil {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	setVersion(w, obj.Entry)
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(obj.body)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	expected, err := condition(r)
	if err != nil {
		writeError(w, http.StatusPreconditionRequired, err.Error())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	key := r.PathValue("key")
	entry, err := p.store.put(key, expected, body, time.Now())
	if err != nil {
		p.writeFailure(w, err)
		return
	}
	p.loseAnswer(key)
	setVersion(w, entry)
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	expected, err := condition(r)
	if err != nil || expected == 0 {
		writeError(w, http.StatusPreconditionRequired, "If-Match is required")
		return
	}
	key := r.PathValue("key")
	if err := p.store.remove(key, expected, time.Now()); err != nil {
		p.writeFailure(w, err)
		return
	}
	p.loseAnswer(key)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) writeFailure(w http.ResponseWriter, err error) {
	if errors.Is(err, ErrNotFound) {
		writeError(w, http.StatusNotFound, err.Error())
		return
	}
	p.count(func(c *PlatformCounters) { c.Conflicts++ })
	writeError(w, http.StatusPreconditionFailed, err.Error())
}

// loseAnswer aborts the connection if the answer to a write of key is to be
// lost.
func (p *Platform) loseAnswer(key string) {
	lost := p.switches.update(func(s *PlatformSwitches) bool {
		if s.LoseAnswers <= 0 || !strings.HasPrefix(key, s.LoseAnswersPrefix) {
			return false
		}
		s.LoseAnswers--
		return true
	})
	if lost {
		p.count(func(c *PlatformCounters) { c.Lost++ })
		abort()
	}
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, p.store.list(r.URL.Query().Get("prefix")))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "since: want a version")
		return
	}
	timeoutMs, err := strconv.Atoi(query.Get("timeout_ms"))
	if err != nil || timeoutMs < 0 {
		writeError(w, http.StatusBadRequest, "timeout_ms: want a count of milliseconds")
		return
	}
	timer := time.NewTimer(min(milliseconds(timeoutMs), maxWatchTime))
	defer timer.Stop()
	for {
		listing, changed := p.store.since(query.Get("prefix"), since)
		if len(listing.Entries) > 0 {
			writeJSON(w, http.StatusOK, listing)
			return
		}
		switches, switched := p.switches.get()
		if switches.Outage {
			p.unavailable(w)
			return
		}
		select {
		case <-changed:
		case <-switched:
		case <-timer.C:
			writeJSON(w, http.StatusOK, listing)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	switches, _ := p.switches.get()
	writeJSON(w, http.StatusOK, p.vms.visible(time.Now(), milliseconds(switches.VMLagMs)))
}

func setVersion(w http.ResponseWriter, entry Entry) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(entry.Version, 10)))
	w.Header().Set("X-Modified-Unix-Ms", strconv.FormatInt(entry.ModifiedUnixMs, 10))
}

// condition returns the version that a write expects; 0 means that the key
// must not exist.
func condition(r *http.Request) (uint64, error) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, nil
	}
	tag, err := strconv.Unquote(r.Header.Get("If-Match"))
	if err != nil {
		return 0, errors.New("If-Match or If-None-Match is required")
	}
	version, err := strconv.ParseUint(tag, 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("If-Match: want a quoted version")
	}
	return version, nil
}
