package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

const (
	// namedLimit is the limit that the limited upstream names, in requests per second.
	namedLimit = "0.5"
	// allowedInWindow is the number of requests that it may get in four seconds: one and a
	// half times what the limit allows, and five.
	allowedInWindow = 8
)

// startLimited starts a plain upstream that names a limit, which may change.
func startLimited(t *testing.T, id string, limit func() string) *server {
	return startServer(t, id, "plain", func(_ *server, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\n", r.Header.Get("Request-Id"))
		if value := limit(); value != "" {
			fmt.Fprintf(c, "%s: %s\r\n", limitHeader, value)
		}
		fmt.Fprint(c, "Content-Length: 4\r\n\r\ndone")
	})
}

// startConnected starts gateways that are connected to each other.
func startConnected(t *testing.T, count int, store *memoryStore) []*node {
	t.Helper()
	nodes := []*node{startGateway(t, "g0", store, nil)}
	for i := 1; i < count; i++ {
		nodes = append(nodes, startGateway(t, fmt.Sprint("g", i), store, func(o *gateway.Options) { o.Policy.Seeds = []string{nodes[0].peer} }))
	}
	awaitReady(t, nodes...)
	for _, n := range nodes {
		NewWithT(t).Eventually(func() int { return len(n.State().Routers) }, eventuallyTimeout).Should(Equal(count - 1))
	}
	return nodes
}

// hearLimit sends requests through a gateway until it has passed on an answer that names a
// limit.
func hearLimit(t *testing.T, n *node) {
	t.Helper()
	NewWithT(t).Eventually(func() string {
		resp, _, err := send(n, "POST", "/safe/", "")
		if err != nil {
			return ""
		}
		return resp.Header.Get(limitHeader)
	}, eventuallyTimeout).Should(Equal(namedLimit))
}

// sendAll sends requests through gateways at the same time and returns the number of those that
// were answered.
func sendAll(count int, nodes ...*node) int {
	var sends sync.WaitGroup
	var answered atomic.Int32
	for i := range count {
		sends.Go(func() {
			resp, _, err := send(nodes[i%len(nodes)], "POST", "/safe/", "")
			if err == nil && resp.StatusCode == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	sends.Wait()
	return int(answered.Load())
}

// registerEverywhere registers an upstream and waits until all gateways know it.
func registerEverywhere(t *testing.T, store *memoryStore, s *server, nodes []*node) {
	t.Helper()
	store.register(s.Upstream, false)
	for _, n := range nodes {
		NewWithT(t).Eventually(func() []gateway.UpstreamEntry { return n.State().Upstreams }, eventuallyTimeout).
			Should(ContainElement(HaveField("ID", s.ID)))
	}
}

// Guards against an upstream getting more requests from all gateways together than the limit
// that it names, which only one of them has heard, while another upstream has room.
func TestLimitThatAnUpstreamNamesHoldsForAllGateways(t *testing.T) {
	g := NewWithT(t)
	limited := startLimited(t, "i-limited", func() string { return namedLimit })
	store := storeOf(definition(1), limited)
	nodes := startConnected(t, 3, store)
	hearLimit(t, nodes[0])
	registerEverywhere(t, store, startServer(t, "i-free", "plain", respondDone), nodes)
	before := limited.count()
	const requests = 60
	g.Expect(sendAll(requests, nodes...)).To(Equal(requests))
	g.Expect(limited.count() - before).To(BeNumerically("<=", allowedInWindow))
}

// Guards against a limit that outlives its end or a malformed value that lifts it.
func TestLimitEndsWhenItIsNamedNoMore(t *testing.T) {
	g := NewWithT(t)
	const rate = "20"
	var value atomic.Value
	value.Store(rate)
	limited := startLimited(t, "i-limited", func() string { return value.Load().(string) })
	nodes := startConnected(t, 2, storeOf(definition(1), limited))
	limits := func() []float64 {
		var rates []float64
		for _, n := range nodes {
			if l := n.State().Services["plain"].Upstreams["i-limited"].Limit; l != nil {
				rates = append(rates, l.Rate)
			}
		}
		return rates
	}
	sendAndList := func() []float64 {
		sendAll(1, nodes...)
		return limits()
	}
	g.Eventually(sendAndList, eventuallyTimeout).Should(Equal([]float64{20, 20}), "both gateways, of which one has heard it")
	value.Store("many")
	before := limited.count()
	g.Eventually(func() int {
		sendAll(1, nodes...)
		return limited.count() - before
	}, eventuallyTimeout).Should(BeNumerically(">=", 3))
	g.Expect(limits()).To(Equal([]float64{20, 20}))
	value.Store("")
	g.Eventually(sendAndList, eventuallyTimeout).Should(BeEmpty())
}

// Guards against a request that only a limited upstream could take being held or refused
// without telling when the next one is taken.
func TestRequestsOverALimitAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	limited := startLimited(t, "i-limited", func() string { return namedLimit })
	n := startGatewayWith(t, limited)
	hearLimit(t, n)
	before := limited.count()
	for range 10 {
		sent := time.Now()
		resp, _, err := send(n, "POST", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(sent)).To(BeNumerically("<", time.Second))
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(seconds).To(And(BeNumerically(">", 0), BeNumerically("<=", 2)), "one request in two seconds")
	}
	g.Expect(limited.count() - before).To(BeNumerically("<=", allowedInWindow))
}
