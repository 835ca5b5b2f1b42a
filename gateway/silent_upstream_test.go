package gateway_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// silenceableSite is a gateway whose connections to its only upstream can go silent: they still
// take bytes, and bring no response. New ones work.
type silenceableSite struct {
	*node
	upstream *server

	mu     sync.Mutex
	silent []net.Conn
	// ran counts by their id the requests that reached the upstream.
	ran map[string]int
}

func newSilenceableSite(t *testing.T, timeout time.Duration) *silenceableSite {
	t.Helper()
	site := &silenceableSite{ran: make(map[string]int)}
	site.upstream = startServer(t, "i-1", "plain", func(s *server, c net.Conn, r *http.Request) {
		site.mu.Lock()
		silent := slices.Contains(site.silent, c)
		site.ran[r.Header.Get("Request-Id")]++
		site.mu.Unlock()
		if !silent {
			respondDone(s, c, r)
		}
	})
	d := plainDefinition()
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].Objective = timeout, 0
	}
	site.node = startGateway(t, "g1", storeOf(d, site.upstream), func(o *gateway.Options) { o.DefaultTimeout = timeout })
	awaitReady(t, site.node)
	return site
}

// silence makes the open connections silent.
func (s *silenceableSite) silence() {
	s.upstream.mu.Lock()
	defer s.upstream.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = slices.Clone(s.upstream.conns)
}

// timesRun returns how often a request reached the upstream.
func (s *silenceableSite) timesRun(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

// Guards against a request for each kept connection to an upstream that gets no response after
// the connections have gone silent, and against one that runs twice because of it.
func TestSilentUpstreamConnectionsCostOneRequest(t *testing.T) {
	t.Parallel()
	for path, method := range map[string]string{"/unsafe/": "POST", "/keyed/": "POST", "/safe/": "GET"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := newSilenceableSite(t, 3*time.Second)
			var wg sync.WaitGroup
			for i := range 6 {
				wg.Go(func() { callPath(t, s.node, method, path, "before"+strconv.Itoa(i)) })
			}
			wg.Wait()
			s.silence()
			g.Expect(callPath(t, s.node, method, path, "on a silent connection").status).To(Equal(http.StatusGatewayTimeout))
			for i := range 6 {
				id := "after" + strconv.Itoa(i)
				g.Expect(callPath(t, s.node, method, path, id).status).To(Equal(http.StatusOK), id)
				g.Expect(s.timesRun(id)).To(Equal(1), id)
			}
			g.Expect(s.timesRun("on a silent connection")).To(Equal(1))
		})
	}
}
