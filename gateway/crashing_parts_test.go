package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

const (
	// crashesUntilBlamed is the number of crashes after which the requests with a part have
	// to be refused, and maxSentAfterwards how many more may still be sent.
	crashesUntilBlamed = 5
	maxSentAfterwards  = 3
)

// crashingEngines are engines of which each crashes when it begins to answer a request
// with the prompt part "bad". All others are answered.
type crashingEngines struct {
	store *memoryStore
	// received is the number of requests with the part.
	received atomic.Int32
}

func startCrashingEngines(t *testing.T, count int) *crashingEngines {
	t.Helper()
	e := &crashingEngines{store: newMemoryStore()}
	e.store.configure(definition(1))
	for i := range count {
		s := startServer(t, fmt.Sprint("i-", i), "engines", func(s *server, c net.Conn, r *http.Request) {
			streamHead(c, r)
			if strings.Contains(r.Header.Get(partsHeader), "bad") {
				e.received.Add(1)
				s.crash()
				return
			}
			chunk(c, events(1, 3))
			lastChunk(c)
		})
		e.store.register(s.Upstream, false)
	}
	return e
}

// sendPrompt sends a request with a prompt and returns the status of its response; zero
// if there is none.
func sendPrompt(n *node, id string, parts ...string) int {
	resp, _, err := send(n, "POST", "/stream/", id, "Request-Id", id, partsHeader, strings.Join(append(parts, id), ","))
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against requests that have one prompt part and nothing else in common crashing one
// upstream after the other, because only whole requests are blamed, and against sound
// requests with the other parts being refused with them.
func TestPromptPartThatCrashesUpstreamsIsRefusedByAllGateways(t *testing.T) {
	g := NewWithT(t)
	const engines = 24
	e := startCrashingEngines(t, engines)
	nodes := startConnected(t, 3, e.store)
	for i := range engines {
		n := nodes[i%len(nodes)]
		sendPrompt(n, fmt.Sprint("bad-", i), "system", "bad")
		g.Expect(e.received.Load()).To(BeNumerically("<=", crashesUntilBlamed+maxSentAfterwards))
		g.Eventually(func() int { return sendPrompt(n, fmt.Sprint("sound-", i), "system", "good") }, eventuallyTimeout).
			Should(Equal(http.StatusOK))
	}
	for i, n := range nodes {
		g.Expect(sendPrompt(n, fmt.Sprint("refused-", i), "system", "bad")).To(Equal(http.StatusServiceUnavailable))
	}
}

// blamePart sends requests with the part "bad" until a gateway refuses it.
func blamePart(t *testing.T, n *node) {
	t.Helper()
	i := 0
	NewWithT(t).Eventually(func() int {
		i++
		return sendPrompt(n, fmt.Sprint("blame-", i), "system", "bad")
	}, eventuallyTimeout).Should(Equal(http.StatusServiceUnavailable))
}

// Guards against a gateway that starts after the verdict, or lost its sessions meanwhile,
// sending requests with the part.
func TestGatewayThatStartsLaterKnowsTheBlamedPart(t *testing.T) {
	g := NewWithT(t)
	e := startCrashingEngines(t, 12)
	first := startGateway(t, "g1", e.store, nil)
	awaitReady(t, first)
	blamePart(t, first)
	received := e.received.Load()
	later := startGateway(t, "g2", e.store, func(o *gateway.Options) { o.Policy.Seeds = []string{first.peer} })
	awaitReady(t, later)
	g.Eventually(func() int { return len(later.State().BlamedParts) }, eventuallyTimeout).Should(Equal(1))
	g.Expect(later.State().BlamedParts[0].Part).To(Equal("bad"))
	g.Expect(sendPrompt(later, "later", "system", "bad")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(sendPrompt(later, "sound", "system", "good")).To(Equal(http.StatusOK))
	g.Expect(e.received.Load()).To(Equal(received))
}

// Guards against a kill of all gateways letting the part crash upstreams again.
func TestBlamedPartOutlivesAllGateways(t *testing.T) {
	g := NewWithT(t)
	e := startCrashingEngines(t, 12)
	first := startGateway(t, "g1", e.store, nil)
	awaitReady(t, first)
	blamePart(t, first)
	stored := func() int {
		parts, _ := e.store.ListBlamedParts(t.Context())
		return len(parts)
	}
	g.Eventually(stored, eventuallyTimeout).Should(Equal(1))
	first.stop()
	<-first.done
	received := e.received.Load()
	second := startGateway(t, "g1", e.store, nil)
	awaitReady(t, second)
	g.Eventually(func() int { return len(second.State().BlamedParts) }, eventuallyTimeout).Should(Equal(1))
	g.Expect(sendPrompt(second, "after", "system", "bad")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(e.received.Load()).To(Equal(received))
}

// Guards against requests that wait at an upstream when the verdict falls crashing it.
func TestWaitingRequestWithABlamedPartIsCanceled(t *testing.T) {
	g := NewWithT(t)
	e := startCrashingEngines(t, 12)
	arrived, closed := make(chan struct{}), make(chan struct{})
	holding := startServer(t, "holding", "engines", func(_ *server, c net.Conn, r *http.Request) {
		if r.Header.Get("Request-Id") != "held" {
			streamHead(c, r)
			chunk(c, events(1, 3))
			lastChunk(c)
			return
		}
		close(arrived)
		_, _ = c.Read(make([]byte, 1)) // Returns when the gateway closes the connection.
		close(closed)
	})
	n := startGatewayWith(t, holding)
	status := make(chan int, 1)
	go func() { status <- sendPrompt(n, "held", "system", "bad") }()
	<-arrived
	store := e.store
	other := startGateway(t, "g2", store, func(o *gateway.Options) { o.Policy.Seeds = []string{n.peer} })
	awaitReady(t, other)
	g.Eventually(func() int { return len(n.State().Routers) }, eventuallyTimeout).Should(Equal(1))
	blamePart(t, other)
	g.Eventually(closed, eventuallyTimeout).Should(BeClosed())
	g.Eventually(status, eventuallyTimeout).Should(Receive(Equal(http.StatusBadGateway)))
}

// Guards against a part that was blamed wrongly, for crashes with another cause, being
// refused until the evidence expires: one request is tried, and its answer clears the part.
func TestPartThatIsBlamedWronglyIsCleared(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	store.configure(definition(1))
	for i := range 6 {
		s := startServer(t, fmt.Sprint("i-", i), "engines", func(s *server, c net.Conn, r *http.Request) {
			streamHead(c, r)
			if strings.HasPrefix(r.Header.Get("Request-Id"), "crash") {
				s.crash()
				return
			}
			chunk(c, events(1, 3))
			lastChunk(c)
		})
		store.register(s.Upstream, false)
	}
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	for i := range 3 {
		sendPrompt(n, fmt.Sprint("crash-", i), "system", "wrong")
		g.Eventually(func() int { return sendPrompt(n, fmt.Sprint("sound-", i), "system", "good") }, eventuallyTimeout).
			Should(Equal(http.StatusOK))
	}
	g.Eventually(func() int { return len(n.State().BlamedParts) }, eventuallyTimeout).Should(Equal(1))
	g.Expect(sendPrompt(n, "refused", "system", "wrong")).To(Equal(http.StatusServiceUnavailable))
	g.Eventually(func() int { return sendPrompt(n, "trial", "system", "wrong") }, eventuallyTimeout).Should(Equal(http.StatusOK))
	g.Expect(n.State().BlamedParts).To(BeEmpty())
	g.Eventually(func() int {
		parts, _ := store.ListBlamedParts(t.Context())
		return len(parts)
	}, eventuallyTimeout).Should(BeZero())
}

// closeDelimitedHead writes the headers of an event stream that ends with its connection.
func closeDelimitedHead(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Request-Id"))
}

// Guards against a stream without length and chunks being taken for complete when its upstream
// crashed: before the first event or within one. Where only the end of the connection marks
// the end, a crash between two events can't be told apart.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		attempts int
	}{
		"no event":        {body: "", attempts: 2},
		"within an event": {body: events(1, 2) + "id: 3\nda", attempts: 2},
		"whole events":    {body: events(1, 3), attempts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var attempts atomic.Int32
			handle := func(_ *server, conn net.Conn, r *http.Request) {
				if attempts.Add(1) == 1 {
					closeDelimitedHead(conn, r)
					fmt.Fprint(conn, c.body)
					conn.Close()
					return
				}
				from := 1
				if r.Header.Get("Last-Event-Id") != "" {
					from = 3
				}
				streamHead(conn, r)
				chunk(conn, events(from, 3))
				lastChunk(conn)
			}
			n := startGatewayWith(t, startServer(t, "i-1", "engines", handle), startServer(t, "i-2", "engines", handle))
			resp, body, err := send(n, "POST", "/resumable/", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal(events(1, 3)))
			g.Expect(int(attempts.Load())).To(Equal(c.attempts))
		})
	}
}
