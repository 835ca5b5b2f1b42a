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

// startPair starts two connected gateways in front of engines.
func startPair(t *testing.T, store *memoryStore) []*node {
	t.Helper()
	first := startGateway(t, "g1", store, nil)
	second := startGateway(t, "g2", store, func(o *gateway.Options) { o.Policy.Seeds = []string{first.peer} })
	awaitReady(t, first, second)
	NewWithT(t).Eventually(func() int { return len(first.State().Routers) }, eventuallyTimeout).Should(Equal(1))
	return []*node{first, second}
}

// Guards against requests that have one prompt part and nothing else in common crashing one
// upstream after the other, because only whole requests are blamed, and against sound
// requests with the other parts being refused with them.
func TestPromptPartThatCrashesUpstreamsIsRefusedByAllGateways(t *testing.T) {
	g := NewWithT(t)
	const engines = 24
	e := startCrashingEngines(t, engines)
	nodes := startPair(t, e.store)
	for i := range engines {
		n := nodes[i%2]
		sendPrompt(n, fmt.Sprint("bad-", i), "system", "bad")
		g.Expect(e.received.Load()).To(BeNumerically("<=", crashesUntilBlamed+maxSentAfterwards))
		g.Eventually(func() int { return sendPrompt(n, fmt.Sprint("sound-", i), "system", "good") }, eventuallyTimeout).
			Should(Equal(http.StatusOK))
	}
	for i, n := range nodes {
		g.Expect(sendPrompt(n, fmt.Sprint("refused-", i), "system", "bad")).To(Equal(http.StatusServiceUnavailable))
	}
}
