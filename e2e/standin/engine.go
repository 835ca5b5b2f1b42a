package standin

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// maxRequestBytes limits the body of one request to a stand-in.
	maxRequestBytes = 4 << 20
	// headerResumeOffset requests a stream from a byte offset.
	headerResumeOffset = "X-Resume-Offset"
	// headerResumedAt confirms the byte offset at which a stream resumes.
	headerResumedAt = "X-Resumed-At"
)

// EngineOptions configures an Engine.
type EngineOptions struct {
	// ID is the name of the server's registration with the platform, or empty.
	ID string
	// Cold is how long the engine is cold after its start.
	Cold time.Duration
	// Slots is the maximum number of concurrent requests.
	Slots int
	// ChecksFencing makes the engine reject orders with an outdated fencing token.
	ChecksFencing bool
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// Switches are the initial switches.
	Switches EngineSwitches
	// Exit terminates the process; nil means os.Exit.
	Exit func(code int)
}

// EngineSwitches sets the speed and the faults of an Engine.
type EngineSwitches struct {
	TokenIntervalMs float64 `json:"token_interval_ms"`
	PrefillMsPer1k  float64 `json:"prefill_ms_per_1k"`
	// LoadLagMs and CacheLagMs delay the load report and the cache events.
	LoadLagMs  int `json:"load_lag_ms"`
	CacheLagMs int `json:"cache_lag_ms"`
	// OrderMs is the execution time of an order.
	OrderMs int `json:"order_ms"`
	// Hang accepts requests without responding and stalls running streams.
	Hang bool `json:"hang"`
	// Refuse rejects requests with status 503 without running them.
	Refuse bool `json:"refuse"`
	// Slow multiplies the prefill time and the token interval; 0 means 1.
	Slow float64 `json:"slow"`
	// CutAfterTokens aborts the next connection whose request reaches this number
	// of tokens, once; 0 disables it.
	CutAfterTokens int  `json:"die_after_tokens"`
	HealthDown     bool `json:"health_down"`
	// Resume enables the X-Resume-Offset header.
	Resume bool `json:"resume"`
	// CrashMarker terminates the process when a request starts whose prompt contains
	// the constant CrashMarker.
	CrashMarker bool `json:"crash_marker"`
}

// DefaultEngineSwitches returns the switches of an engine without faults.
func DefaultEngineSwitches() EngineSwitches {
	return EngineSwitches{
		TokenIntervalMs: 5,
		PrefillMsPer1k:  10,
		LoadLagMs:       200,
		CacheLagMs:      500,
		Resume:          true,
		CrashMarker:     true,
	}
}

// Engine is a test double of a model engine.
type Engine struct {
	instance *instance
	options  EngineOptions
	switches *switchSet[EngineSwitches]
	batch    *batch
	cache    *prefixCache
	orders   *orderLog
}

// NewEngine returns an engine.
func NewEngine(options EngineOptions) *Engine {
	if options.Exit == nil {
		options.Exit = os.Exit
	}
	return &Engine{
		instance: newInstance(options.ID, options.Cold),
		options:  options,
		switches: newSwitchSet(options.Switches),
		batch:    newBatch(options.Slots),
		cache:    newPrefixCache(options.CacheBlocks),
		orders:   &orderLog{checksFencing: options.ChecksFencing},
	}
}

// Handler returns the handler of the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	complete := func(chat bool) http.HandlerFunc {
		return e.instance.identify(func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, chat) })
	}
	mux.HandleFunc("POST /v1/chat/completions", complete(true))
	mux.HandleFunc("POST /v1/completions", complete(false))
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.instance.identify(e.order))
	mux.HandleFunc("GET /orders", e.orderState)
	return mux
}

// ControlHandler returns the handler of the control port.
func (e *Engine) ControlHandler() http.Handler {
	mux := controlMux(e.switches, e.Counters)
	mux.HandleFunc("POST /cold", e.instance.serveCold)
	return mux
}

// Counters returns the current counters.
func (e *Engine) Counters() EngineCounters {
	counters := e.batch.snapshot()
	counters.InstanceCounters = e.instance.snapshot()
	return counters
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request) {
	switches, _ := e.switches.get()
	if switches.HealthDown {
		writeError(w, http.StatusServiceUnavailable, "down")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	switches, _ := e.switches.get()
	writeJSON(w, http.StatusOK, e.batch.loadAt(time.Now().Add(-milliseconds(switches.LoadLagMs))))
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	// A missing or invalid number selects all events.
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	switches, _ := e.switches.get()
	writeJSON(w, http.StatusOK, e.cache.eventsSince(since, time.Now(), milliseconds(switches.CacheLagMs)))
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	req, err := ParseCompletion(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	switches, _ := e.switches.get()
	if switches.Refuse {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if err := e.batch.acquire(r.Context()); err != nil {
		return
	}
	finished := false
	defer func() { e.batch.release(finished) }()
	prompt := req.FullPrompt()
	if switches.CrashMarker && strings.Contains(prompt, CrashMarker) {
		e.options.Exit(1)
		return
	}
	finished = e.run(w, r, req, chat, prompt)
}

// run generates one response and reports whether it was sent completely.
func (e *Engine) run(w http.ResponseWriter, r *http.Request, req CompletionRequest, chat bool, prompt string) bool {
	pacer := &requestPacer{engine: e, request: r, due: time.Now()}
	if err := pacer.prefill(prompt); err != nil {
		return false
	}
	if req.Stream {
		return e.stream(w, pacer, StreamEvents(req, chat))
	}
	for range req.MaxTokens {
		if err := pacer.token(); err != nil {
			return false
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, err := w.Write(ResponseBody(req, chat))
	return err == nil
}

func (e *Engine) stream(w http.ResponseWriter, pacer *requestPacer, events [][]byte) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	skip := e.resumeOffset(w, pacer.request)
	controller := http.NewResponseController(w)
	for i, event := range events {
		if skip >= len(event) {
			skip -= len(event)
			continue
		}
		isToken := i < len(events)-2
		if isToken && pacer.token() != nil {
			return false
		}
		if _, err := w.Write(event[skip:]); err != nil {
			return false
		}
		skip = 0
		if err := controller.Flush(); err != nil {
			return false
		}
	}
	return true
}

// resumeOffset returns the number of bytes to skip and confirms it in X-Resumed-At.
// An engine that does not resume sends the whole stream without that header.
func (e *Engine) resumeOffset(w http.ResponseWriter, r *http.Request) int {
	switches, _ := e.switches.get()
	offset, err := strconv.Atoi(r.Header.Get(headerResumeOffset))
	if err != nil || offset <= 0 || !switches.Resume {
		return 0
	}
	w.Header().Set(headerResumedAt, strconv.Itoa(offset))
	return offset
}

// detachedContext returns the request's context without its cancellation.
func detachedContext(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}
