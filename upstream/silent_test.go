package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// silenceAfter is how long the tests' upstream may take to begin a response.
const silenceAfter = 50 * time.Millisecond

// waitTime is how long the tests wait for what happens in the background.
const waitTime = 10 * time.Second

// silenceable is an upstream whose open connections can go silent: they still take bytes, and
// answer nothing. New ones work. It answers a request to "slow" on no connection.
type silenceable struct {
	address string
	// silenced is the number of the last connection that is silent.
	silenced, opened atomic.Int64
	// slow counts the requests to "slow" that have arrived.
	slow atomic.Int64
	// together is how many requests arrive before any of them is answered.
	together sync.WaitGroup
}

func startSilenceable(t *testing.T) *silenceable {
	s := &silenceable{}
	s.address = startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		number := s.opened.Add(1)
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			if id == "slow" {
				s.slow.Add(1)
				continue
			}
			if number <= s.silenced.Load() {
				continue
			}
			if id == "together" {
				s.together.Done()
				s.together.Wait()
			}
			_, _ = io.WriteString(c, okResponse(id, body))
		}
	})
	return s
}

func (s *silenceable) silence() { s.silenced.Store(s.opened.Load()) }

// keep makes n connections of the pool idle.
func (s *silenceable) keep(g *WithT, p *upstream.Pool, n int) {
	s.together.Add(n)
	var failures atomic.Int64
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			if _, err := roundTrip(p, "together"); err != nil {
				failures.Add(1)
			}
		})
	}
	wg.Wait()
	g.Expect(failures.Load()).To(BeZero())
	g.Expect(s.opened.Load()).To(BeEquivalentTo(n))
}

// unanswered sends a request that gets no response until its caller leaves. Its connection counts as
// silent from a time on.
func unanswered(ctx context.Context, g *WithT, p *upstream.Pool, silentAt time.Time) {
	r := newRequest("slow")
	r.SilentAt = silentAt
	_, err := p.Do(ctx, r) //nolint:bodyclose // There is no response.
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
}

// canceledAfter returns a context that is canceled once its connection counts as silent.
func canceledAfter(d time.Duration) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(d, cancel)
	return ctx
}

// Guards against a request for each kept connection that is lost when all of them have gone
// silent.
func TestOneSilentConnectionReplacesTheIdleOnes(t *testing.T) {
	for kept := 1; kept <= 4; kept++ {
		t.Run(strconv.Itoa(kept), func(t *testing.T) {
			g := NewWithT(t)
			s := startSilenceable(t)
			p := newPool(t, s.address)
			s.keep(g, p, kept)
			s.silence()
			unanswered(canceledAfter(2*silenceAfter), g, p, time.Now().Add(silenceAfter))
			// Four connections are allowed: the silent ones don't count any longer.
			s.together.Add(4)
			var answered atomic.Int64
			var wg sync.WaitGroup
			for range 4 {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					if x, err := p.Do(ctx, newRequest("together")); err == nil {
						answered.Add(1)
						x.Close()
					}
				})
			}
			wg.Wait()
			g.Expect(answered.Load()).To(BeEquivalentTo(4))
			g.Expect(s.opened.Load()).To(BeEquivalentTo(kept + 4))
		})
	}
}

// sendUnanswered sends a request on one of the kept connections, which counts as silent at once, and
// waits until it has arrived. The returned function makes its caller leave.
func (s *silenceable) sendUnanswered(g *WithT, p *upstream.Pool) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		unanswered(ctx, g, p, time.Now())
	}()
	g.Eventually(s.slow.Load, waitTime).Should(BeEquivalentTo(1))
	return func() {
		cancel()
		<-done
	}
}

// Guards against idle connections that are closed although nothing speaks against them.
func TestIdleConnectionsAreKept(t *testing.T) {
	for name, leave := range map[string]func(*WithT, *silenceable, *upstream.Pool){
		"after a caller that leaves early": func(g *WithT, _ *silenceable, p *upstream.Pool) {
			unanswered(canceledAfter(silenceAfter), g, p, time.Now().Add(time.Hour))
		},
		"if they were used since the request was sent": func(g *WithT, s *silenceable, p *upstream.Pool) {
			leave := s.sendUnanswered(g, p)
			before := s.opened.Load()
			g.Expect(roundTrip(p, "used")).To(Equal("body"))
			g.Expect(s.opened.Load()).To(Equal(before))
			leave()
		},
		"if they were opened since the request was sent": func(g *WithT, s *silenceable, p *upstream.Pool) {
			leave := s.sendUnanswered(g, p)
			unanswered(canceledAfter(silenceAfter), g, p, time.Now().Add(time.Hour)) // Takes the other kept one.
			g.Expect(p.Check(context.Background())).To(Succeed())
			g.Eventually(s.opened.Load, waitTime).Should(BeEquivalentTo(3))
			leave()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startSilenceable(t)
			p := newPool(t, s.address)
			s.keep(g, p, 2)
			leave(g, s, p)
			opened := s.opened.Load()
			g.Expect(p.IdleConnections()).To(BeNumerically(">=", 1))
			g.Expect(roundTrip(p, "next")).To(Equal("body"))
			g.Expect(s.opened.Load()).To(Equal(opened), "no connection is opened")
		})
	}
}
