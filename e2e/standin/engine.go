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
	// maxRequestBytes bounds the body of one completion request.
	maxRequestBytes = 4 << 20
	// headerResumeOffset asks for a stream from this byte offset on.
	headerResumeOffset = "X-Resume-Offset"
	// headerResumedAt confirms the offset at which a stream was resumed.
	headerResumedAt = "X-Resumed-At"
)

// EngineOptions describe a model engine.
type EngineOptions struct {
	// Slots is the size of the batch.
	Slots int
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// Switches are the switches at the start.
	Switches EngineSwitches
	// Exit ends the process; nil means os.Exit.
	Exit func(code int)
}

// EngineSwitches set the speed and the faults of the engine stand-in.
type EngineSwitches struct {
	TokenIntervalMs float64 `json:"token_interval_ms"`
	PrefillMsPer1k  float64 `json:"prefill_ms_per_1k"`
	// LoadLagMs and CacheLagMs are the lags of the reports.
	LoadLagMs  int `json:"load_lag_ms"`
	CacheLagMs int `json:"cache_lag_ms"`
	// OrderMs is the time that an order takes.
	OrderMs int `json:"order_ms"`
	// Hang accepts requests and sends nothing; running streams stall.
	Hang bool `json:"hang"`
	// Refuse answers requests with 503 and doesn't run them.
	Refuse bool `json:"refuse"`
	// Slow multiplies all running times; 0 means 1.
	Slow float64 `json:"slow"`
	// DieAfterTokens cuts the next connection that reaches so many tokens, once.
	CutAfterTokens int  `json:"die_after_tokens"`
	HealthDown     bool `json:"health_down"`
	// Resume honours X-Resume-Offset.
	Resume bool `json:"resume"`
	// CrashMarker ends the process when a prompt with the marker starts to run.
	CrashMarker bool `json:"crash_marker"`
}

// DefaultEngineSwitches returns the switches of a sound engine.
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

// Engine is a stand-in for a model engine.
type Engine struct {
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
		options:  options,
		switches: newSwitchSet(options.Switches),
		batch:    newBatch(options.Slots),
		cache:    newPrefixCache(options.CacheBlocks),
		orders:   &orderLog{checksFencing: options.ChecksFencing},
	}
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.complete(w, r, true)
	})
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		e.complete(w, r, false)
	})
	mux.HandleFunc("GET /health", e.health)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache/events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /orders", e.orderState)
	return mux
}

// ControlHandler serves the control port.
func (e *Engine) ControlHandler() http.Handler {
	return controlMux(e.switches, e.Counters)
}

// Counters returns the counters so far.
func (e *Engine) Counters() EngineCounters {
	return e.batch.snapshot()
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
	// A missing or bad number means all events.
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

// run generates one answer and reports whether it was sent whole.
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

// resumeOffset returns the bytes to leave out. An engine that doesn't resume
// sends the whole stream and no X-Resumed-At.
func (e *Engine) resumeOffset(w http.ResponseWriter, r *http.Request) int {
	switches, _ := e.switches.get()
	offset, err := strconv.Atoi(r.Header.Get(headerResumeOffset))
	if err != nil || offset <= 0 || !switches.Resume {
		return 0
	}
	w.Header().Set(headerResumedAt, strconv.Itoa(offset))
	return offset
}

// detached returns the request's context without its cancellation.
func detachedContext(r *http.Request) context.Context {
	return context.WithoutCancel(r.Context())
}
