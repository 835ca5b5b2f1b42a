package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// startCrashingServer starts a server that crashes when it receives the body crash.
func startCrashingServer(t *testing.T, id string, crashed, received *atomic.Int32) *server {
	var s *server
	s = startServer(t, id, "plain", func(_ *server, c net.Conn, r *http.Request) {
		_, body := s.request(s.count() - 1)
		if body != "crash" {
			respond(c, r, 200, "done")
			return
		}
		received.Add(1)
		crashed.Add(1)
		s.crash()
	})
	return s
}

// A request crashes every upstream that runs it and is retried at other gateways: all
// gateways have to refuse it.
func TestRequestThatCrashesUpstreamsIsRefusedByAllGateways(t *testing.T) {
	g := NewWithT(t)
	const upstreams = 8
	var crashed, received atomic.Int32
	store := newMemoryStore()
	store.configure(definition(1))
	for i := range upstreams {
		store.register(startCrashingServer(t, fmt.Sprint("i-", i), &crashed, &received).Upstream, false)
	}
	first := startGateway(t, "g1", store, nil)
	second := startGateway(t, "g2", store, func(o *gateway.Options) { o.Policy.Seeds = []string{first.peer} })
	awaitReady(t, first, second)
	g.Eventually(func() int { return len(second.State().Routers) }, eventuallyTimeout).Should(Equal(1))

	sendOthers := func(n *node) {
		for i := range 2 * upstreams {
			_, _, err := send(n, "POST", "/safe/", fmt.Sprint("other ", i))
			g.Expect(err).NotTo(HaveOccurred())
		}
	}
	status := func(n *node) int {
		resp, _, err := send(n, "POST", "/safe/", "crash")
		g.Expect(err).NotTo(HaveOccurred())
		if resp.StatusCode == http.StatusServiceUnavailable {
			g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		}
		return resp.StatusCode
	}
	nodes := []*node{first, second}
	for i := 0; status(nodes[i%2]) != http.StatusServiceUnavailable; i++ {
		g.Expect(i).To(BeNumerically("<", 4))
		sendOthers(nodes[i%2])
	}
	// Three crashes, plus an attempt that starts before the third one is known.
	g.Expect(crashed.Load()).To(BeNumerically("<=", 4))
	for _, n := range nodes {
		g.Eventually(func() int { return status(n) }, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
	}
	g.Expect(first.State().Suspects).To(ContainElement(HaveField("Refused", true)))
	settled := received.Load()
	for i := range 10 {
		g.Expect(status(nodes[i%2])).To(Equal(http.StatusServiceUnavailable))
	}
	g.Expect(received.Load()).To(Equal(settled), "no upstream receives the request any more")
	sendOthers(first)
}
