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
)

// Names of the platform that the upstreams speak.
const (
	headerAttempt = "Attempt-Id"
	headerTeam    = "Tenant"
	headerSeal    = "Server-Seal"
	headerNotRun  = "Not-Run"
	headerPrompt  = "Prompt-Prefix"
	headerTokens  = "Token-Counts"
	headerLast    = "Last-Event-Id"
)

// server is what upstreams have in common.
type server struct {
	service string
	id      string
	record  *Record
	// failing is the part of the requests, in thousandths, that fail after they
	// ran.
	failing atomic.Int64
	// endless is set while answers are heads without an end.
	endless atomic.Bool
	http    http.Server
	address string
}

// serve listens on an address of its own until the server is closed.
func (s *server) serve(host string, port int, handler http.Handler) error {
	var config net.ListenConfig
	ln, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	s.http.Handler = handler
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

func (s *server) Close() { _ = s.http.Close() }

// arrive notes a request. The body is read so that a caller that leaves is noticed.
func (s *server) arrive(r *http.Request) *Arrival {
	_, _ = io.Copy(io.Discard, r.Body)
	return s.record.arrive(Arrival{
		Service: s.service, Attempt: r.Header.Get(headerAttempt), Team: r.Header.Get(headerTeam), At: time.Now(), Tokens: tokensOf(r.Header),
		Order: strings.HasPrefix(r.URL.Path, "/order/"),
	})
}

// sign sets the headers of an answer that the server ran the request for.
func (s *server) sign(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerAttempt, r.Header.Get(headerAttempt))
	w.Header().Set(headerSeal, s.id)
}

// fails draws whether a request fails.
func (s *server) fails() bool { return rand.Int64N(1000) < s.failing.Load() }

// sendWithoutEnd sends the fields of a head until the caller closes.
func sendWithoutEnd(w http.ResponseWriter) {
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

// plain is an upstream that takes some time for a request.
type plain struct {
	server
	work  time.Duration
	slots chan struct{}
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := p.arrive(r)
	select {
	case p.slots <- struct{}{}:
	default:
		w.Header().Set(headerNotRun, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-p.slots }()
	p.record.began(a, time.Now())
	if p.endless.Load() {
		sendWithoutEnd(w)
		return
	}
	wait(context.Background(), p.work)
	p.sign(w, r)
	if p.fails() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "done")
}

// wait returns after d, or false when ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// engine is a model server: it reads prompts one after the other, keeps their shared
// parts, and generates for all requests at once.
type engine struct {
	server
	// rate is the prompt tokens that it reads in a second.
	rate float64
	// gap is the time between two events of a stream.
	gap time.Duration

	// reading is held by the request whose prompt is read; others wait in order.
	reading chan struct{}
	mu      sync.Mutex
	cached  map[string]bool
}

func newEngine(id, service string, record *Record, rate float64, gap time.Duration) *engine {
	return &engine{
		server: server{service: service, id: id, record: record}, rate: rate, gap: gap,
		reading: make(chan struct{}, 1), cached: map[string]bool{},
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fulmarspindle/") {
		http.NotFound(w, r)
		return
	}
	a := e.arrive(r)
	if !e.read(r, a) {
		return
	}
	e.sign(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	_, output := counts(r.Header)
	first, _ := strconv.Atoi(r.Header.Get(headerLast))
	for i := first + 1; i <= output; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, e.id)
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		if i < output && !wait(r.Context(), e.gap) {
			return
		}
	}
}

// read reads the prompt, and returns false if the caller leaves before its turn.
func (e *engine) read(r *http.Request, a *Arrival) bool {
	select {
	case e.reading <- struct{}{}:
	case <-r.Context().Done():
		return false
	}
	defer func() { <-e.reading }()
	if r.Context().Err() != nil {
		return false
	}
	took := e.uncached(r.Header.Get(headerPrompt)) / e.rate
	wait(context.Background(), time.Duration(took*float64(time.Second)))
	e.record.began(a, time.Now())
	return true
}

// uncached returns the tokens of a prompt that are not kept, and keeps the shared
// parts.
func (e *engine) uncached(prompt string) float64 {
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

// counts returns the tokens of the prompt and those to be generated.
func counts(h http.Header) (int, int) {
	in, out, _ := strings.Cut(h.Get(headerTokens), ",")
	input, _ := strconv.Atoi(in)
	output, _ := strconv.Atoi(out)
	return input, output
}

func tokensOf(h http.Header) float64 {
	input, output := counts(h)
	return float64(input) + 2*float64(output)
}
