package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// Headers of the platform protocol.
const (
	headerAttemptID    = "Attempt-Id"
	headerTeam         = "Tenant"
	headerServerSeal   = "Server-Seal"
	headerInstance     = "Expect-Instance"
	headerNotRun       = "Not-Run"
	headerPromptPrefix = "Prompt-Prefix"
	headerTokenCounts  = "Token-Counts"
	headerLastEventID  = "Last-Event-Id"
	headerLimit        = "Server-Limit"
)

// server is the common part of all upstreams.
type server struct {
	service string
	// name is the identifier of the first instance.
	name          string
	failureDomain string
	slotLimit     int
	handler       http.Handler
	recorder      *Recorder
	rules         *Rules
	cold          standin.ColdMeter
	// limit is what the server names in its responses; limiting is held while it does.
	limit    namedLimit
	limiting sync.Mutex
	// selfReport is what else the server says of itself.
	selfReport selfReport
	// restarting is held while the server returns as a new instance.
	restarting sync.Mutex
	// restarts is the number of instances before this one.
	restarts atomic.Int64
	// failurePermille is the share of requests, in thousandths, that fail after
	// they have run.
	failurePermille atomic.Int64
	// refusedPermille is the share of requests, in thousandths, that a plain server refuses
	// although it has slots. While it is not zero, refusals are repeated.
	refusedPermille atomic.Int64
	// crash ends the server, which returns as a new instance later.
	crash func()
	// endlessHeaders is set while responses send headers without end.
	endlessHeaders atomic.Bool
	http           *http.Server
	address        string
	// startedUnixMs is when the current instance started.
	startedUnixMs atomic.Int64
}

// id returns the identifier of the current instance.
func (s *server) id() string {
	if n := s.restarts.Load(); n > 0 {
		return fmt.Sprint(s.name, "-", n)
	}
	return s.name
}

// serve starts an HTTP server at the address; Close stops it.
func (s *server) serve() error {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return err
	}
	s.startedUnixMs.Store(time.Now().UnixMilli())
	s.http = &http.Server{Handler: s.identify(s.id()), ConnContext: withConn}
	go func(server *http.Server) { _ = server.Serve(upstreamListener{Listener: ln, server: s}) }(s.http)
	return nil
}

// identify returns a handler that rejects requests for another instance.
func (s *server) identify(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get(headerInstance); expected != "" && expected != id {
			w.Header().Set(headerNotRun, "other instance")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		defer s.selfReport.announce(w, s.listener(r))()
		s.handler.ServeHTTP(w, r)
	})
}

// listener returns the gateway that gets the response to a request.
func (s *server) listener(r *http.Request) listener {
	return listener{server: s.id(), gateway: gatewayOf(r.Header.Get(headerAttemptID))}
}

func (s *server) Close() {
	if s.http != nil {
		_ = s.http.Close()
	}
}

// recordArrival reads the whole body first: net/http detects a closed connection, and
// cancels the request's context, only after that.
func (s *server) recordArrival(r *http.Request) *Arrival {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(headerAttemptID)
	a := Arrival{
		Service: s.service, Server: s.id(), AttemptID: id, Team: r.Header.Get(headerTeam), Path: r.URL.Path, Gateway: gatewayOf(id),
		ReceivedAt: time.Now(), Cost: requestCost(r.Header), NonIdempotent: strings.HasPrefix(r.URL.Path, orderPath) || strings.HasPrefix(r.URL.Path, longPath),
	}
	a.ResumedAfter, _ = strconv.Atoi(r.Header.Get(headerLastEventID))
	_, coldArrivals := s.cold.Receive(a.ReceivedAt)
	s.rules.check(a, s.failureDomain, coldArrivals)
	s.rules.checkLimit(a, &s.limit)
	s.rules.checkReports(a, &s.selfReport)
	return s.recorder.addArrival(a)
}

// setResponseHeaders sets the headers that mark a response as that of a request that
// ran on this server.
func (s *server) setResponseHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerAttemptID, r.Header.Get(headerAttemptID))
	w.Header().Set(headerServerSeal, s.id())
	if value := s.limit.header(gatewayOf(r.Header.Get(headerAttemptID))); value != "" {
		w.Header().Set(headerLimit, value)
	}
}

// shouldFail decides at random whether a request fails.
func (s *server) shouldFail() bool { return rand.Int64N(1000) < s.failurePermille.Load() }

// sendEndlessHeaders sends header fields until the client closes the connection.
func sendEndlessHeaders(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
	block := strings.Repeat("Field: value\r\n", 1024)
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// plainServer is an upstream with a constant service time and limited concurrency.
type plainServer struct {
	server
	serviceTime time.Duration
	slots       chan struct{}
}

func (p *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := p.recordArrival(r)
	if p.selfReport.askForPause(w, p.listener(r)) || rand.Int64N(1000) < p.refusedPermille.Load() {
		p.refuse(w)
		return
	}
	select {
	case p.slots <- struct{}{}:
	default:
		p.refuse(w)
		return
	}
	defer func() { <-p.slots }()
	p.recorder.markStarted(a, time.Now())
	if p.endlessHeaders.Load() {
		sendEndlessHeaders(w)
		return
	}
	sleep(context.Background(), p.timeOf(r))
	p.setResponseHeaders(w, r)
	if p.shouldFail() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, plainAnswer(a.AttemptID))
}

// longTimeout is the timeout of requests that take up to maxLongTime, some of them longer than
// a gateway's grace period.
const (
	longTimeout = 8 * time.Second
	maxLongTime = 7500 * time.Millisecond
)

// timeOf returns how long a request takes.
func (p *plainServer) timeOf(r *http.Request) time.Duration {
	if strings.HasPrefix(r.URL.Path, longPath) {
		return time.Duration(rand.Int64N(int64(maxLongTime)))
	}
	return p.serviceTime
}

// sleep reports whether d passed before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// engine simulates a model server: it prefills one prompt at a time, caches prompt
// parts, and generates output for all requests concurrently.
type engine struct {
	server
	// prefillRate is the prompt tokens processed per second.
	prefillRate float64
	// tokenInterval is the time between two events of a stream.
	tokenInterval time.Duration
	// insertions is set while the engine inserts bytes into its streams.
	insertions atomic.Pointer[insertions]

	// prefillSlot is held by the request whose prompt is being prefilled; others
	// wait in order.
	prefillSlot chan struct{}
	mu          sync.Mutex
	cached      map[string]bool
}

func newEngine(prefillRate float64, tokenInterval time.Duration) *engine {
	return &engine{
		prefillRate: prefillRate, tokenInterval: tokenInterval,
		prefillSlot: make(chan struct{}, 1), cached: map[string]bool{},
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fulmarspindle/") {
		http.NotFound(w, r)
		return
	}
	a := e.recordArrival(r)
	if part := crashPart(r.Header.Get(headerPromptPrefix)); part != "" {
		e.rules.checkPart(*a, part)
	}
	if !e.prefill(r, a) {
		return
	}
	if part := crashPart(r.Header.Get(headerPromptPrefix)); part != "" {
		e.rules.recordCrash(part)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	e.setResponseHeaders(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	e.sendStream(w, r, a)
}

// generate sends the events of a run. It returns false if it could not send all.
func (e *engine) generate(w http.ResponseWriter, r *http.Request, a *Arrival, inserted *insertion) bool {
	_, output := tokenCounts(r.Header)
	for i := a.ResumedAfter + 1; i <= output; i++ {
		e.recorder.markPiece(a, i)
		_, _ = io.WriteString(w, inserted.pieceWith(i, streamPiece(i, a.Server, a.AttemptID)))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return false
		}
		if i < output && !sleep(r.Context(), e.tokenInterval) {
			return false
		}
	}
	return true
}

// prefill processes the prompt. It returns false if the caller leaves before the
// request's turn.
func (e *engine) prefill(r *http.Request, a *Arrival) bool {
	select {
	case e.prefillSlot <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-e.prefillSlot }()
	if r.Context().Err() != nil {
		return false
	}
	seconds := e.cachePrompt(r.Header.Get(headerPromptPrefix)) / e.prefillRate
	sleep(context.Background(), time.Duration(seconds*float64(time.Second)))
	e.recorder.markStarted(a, time.Now())
	return true
}

// cachePrompt returns the tokens of a prompt that were not cached, and caches all its
// parts.
func (e *engine) cachePrompt(prompt string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := 0.0
	for part := range strings.SplitSeq(prompt, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if e.cached[id] {
			continue
		}
		n, _ := strconv.Atoi(tokens)
		total += float64(n)
		e.cached[id] = true
	}
	return total
}

func (e *engine) clearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.cached)
}

// tokenCounts returns the prompt tokens and the requested output tokens.
func tokenCounts(h http.Header) (int, int) {
	in, out, _ := strings.Cut(h.Get(headerTokenCounts), ",")
	input, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	return input, output
}

func requestCost(h http.Header) float64 {
	input, output := tokenCounts(h)
	return float64(input) + 2*float64(output)
}
