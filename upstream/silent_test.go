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

// silenceAfter is how long the test's upstream may take to begin a response.
const silenceAfter = 50 * time.Millisecond

// silenceable is an upstream whose open connections can go silent: they still take bytes, and
// answer nothing. New ones work. It answers a request to "slow" on no connection.
type silenceable struct {
	address string
	// silenced is the number of the last connection that is silent.
	silenced, opened atomic.Int64
	// together is how many requests are answered at once.
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
			if id == "slow" || number <= s.silenced.Load() {
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

// unanswered sends a request whose caller waits for the given time and gets no response.
func unanswered(g *WithT, p *upstream.Pool, id string, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r := newRequest(id)
	r.SilentAt = time.Now().Add(silenceAfter)
	_, err := p.Do(ctx, r) //nolint:bodyclose // There is no response.
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
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
			unanswered(g, p, "1", 2*silenceAfter)
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

// Guards against idle connections that are closed although nothing speaks against them.
func TestIdleConnectionsAreKept(t *testing.T) {
	for name, leave := range map[string]func(*WithT, *silenceable, *upstream.Pool){
		"after a caller that leaves early": func(g *WithT, _ *silenceable, p *upstream.Pool) {
			unanswered(g, p, "slow", silenceAfter/5)
		},
		"if they were used since the request was sent": func(g *WithT, s *silenceable, p *upstream.Pool) {
			done := make(chan struct{})
			before := s.opened.Load()
			go func() {
				defer close(done)
				unanswered(g, p, "slow", 4*silenceAfter)
			}()
			g.Eventually(p.IdleConnections).Should(Equal(1))
			g.Expect(roundTrip(p, "used")).To(Equal("body"))
			g.Expect(s.opened.Load()).To(Equal(before))
			<-done
		},
		"if they were opened since the request was sent": func(g *WithT, _ *silenceable, p *upstream.Pool) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				unanswered(g, p, "slow", 4*silenceAfter)
			}()
			g.Eventually(p.IdleConnections).Should(Equal(1))
			unanswered(g, p, "slow", silenceAfter/5) // Takes the other kept one.
			g.Expect(p.Check(context.Background())).To(Succeed())
			<-done
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
