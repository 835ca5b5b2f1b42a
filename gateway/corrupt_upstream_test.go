package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// TestRequestsOfCorruptUpstreamsAreNotSuspects guards against requests that are refused as ones
// that crash upstreams, because their upstreams inserted bytes into their streams.
func TestRequestsOfCorruptUpstreamsAreNotSuspects(t *testing.T) {
	g := NewWithT(t)
	garbage := streamOf(1, 3, 2, "garbage\n\n", true)
	n := startGateway(t, "g1", storeOf(definition(1), startServer(t, "e1", "engines", garbage),
		startServer(t, "e2", "engines", garbage), startServer(t, "e3", "engines", garbage)),
		func(o *gateway.Options) { o.Policy.Admission.Outlier.ConsecutiveBroken = 1 })
	awaitReady(t, n)
	for range 3 {
		_, _, err := send(n, http.MethodPost, "/stream/", "prompt")
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(n.State().Suspects).To(BeEmpty())
}

// TestCorruptUpstreamIsEjected guards against an upstream that keeps getting requests although
// each of its streams is corrupt, and against another stream on such a connection.
func TestCorruptUpstreamIsEjected(t *testing.T) {
	g := NewWithT(t)
	var mu sync.Mutex
	connections := map[net.Conn]int{}
	faulty := startServer(t, "e1", "engines", func(s *server, c net.Conn, r *http.Request) {
		mu.Lock()
		connections[c]++
		mu.Unlock()
		streamOf(1, 3, 2, "garbage\n\n", true)(s, c, r)
	})
	sound := startServer(t, "e2", "engines", streamOf(1, 3, 0, "", true))
	n := startGateway(t, "g1", storeOf(definition(1), faulty, sound),
		func(o *gateway.Options) { o.Policy.Admission.Outlier.ConsecutiveBroken = 1 })
	awaitReady(t, n)
	for range 20 {
		_, body, err := send(n, http.MethodPost, "/resumable/", "prompt")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal(events(1, 3)))
	}
	g.Expect(faulty.count()).To(BeNumerically("<=", 2), "ejected after its first stream")
	mu.Lock()
	defer mu.Unlock()
	for c, requests := range connections {
		g.Expect(requests).To(Equal(1), "requests on connection %v", c.RemoteAddr())
	}
}

// Guards against keeping the connection of an upstream whose stream was found unsound in the
// last read of its body.
func TestConnectionOfAnUnsoundStreamIsClosed(t *testing.T) {
	body := event(1) + "garbage\n\n" + event(2)
	for name, response := range map[string]string{
		"chunked": signedHead + streamType + inChunks + "\r\n" + chunkOf(body) + noMore,
		"length":  signedHead + streamType + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, "e1", "engines", writeRaw(response, false))
			n := startGatewayWith(t, s)
			for range 2 {
				_, _, err := send(n, http.MethodPost, "/stream/", "prompt")
				g.Expect(err).To(HaveOccurred())
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			g.Expect(s.requests).To(HaveLen(2))
			g.Expect(len(s.conns)).To(BeNumerically(">=", 2))
		})
	}
}

// TestRequestsWithMalformedResponsesAreNotSuspects guards against requests that are refused as ones
// that crash upstreams, because their upstreams sent bytes that are no response.
func TestRequestsWithMalformedResponsesAreNotSuspects(t *testing.T) {
	for name, response := range map[string]string{
		"no head":          "\x00\x01garbage\r\n\r\n",
		"header":           "HTTP/1.1 200 OK\r\ngarbage\r\n\r\n",
		"length":           signedHead + "Content-Length: -2\r\n\r\n",
		"chunk":            signedHead + streamType + inChunks + "\r\n" + chunkOf(event(1)) + "garbage\r\n",
		"end of the chunk": signedHead + streamType + inChunks + "\r\n1\r\nabc\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var engines []*server
			for i := range 3 {
				engines = append(engines, startServer(t, fmt.Sprint("e", i), "engines", writeRaw(response, false)))
			}
			n := startGateway(t, "g1", storeOf(definition(1), engines...),
				func(o *gateway.Options) { o.Policy.Admission.Outlier.ConsecutiveBroken = 1 })
			awaitReady(t, n)
			for range 3 {
				resp, _, err := send(n, http.MethodPost, "/stream/", "prompt")
				g.Expect(err != nil || resp.StatusCode == http.StatusBadGateway).To(BeTrue())
			}
			g.Expect(n.State().Suspects).To(BeEmpty())
		})
	}
}
