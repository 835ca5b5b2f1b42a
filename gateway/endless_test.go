package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// writeForever writes a block repeatedly until the connection is closed.
func writeForever(c net.Conn, block string) {
	var err error
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

// TestEndlessEventAbortsTheResponse guards against upstreams that start an event and never
// end it: the connections of their callers have to be closed while other callers are
// served.
func TestEndlessEventAbortsTheResponse(t *testing.T) {
	g := NewWithT(t)
	const callers = 64
	block := strings.Repeat("data: x\n", 2048)
	engine := startServer(t, "e1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		writeForever(c, fmt.Sprintf("%x\r\n%s\r\n", len(block), block))
	})
	n := startGatewayWith(t, engine, startServer(t, "p1", "plain", respondDone))
	var responses sync.WaitGroup
	for range callers {
		responses.Go(func() {
			_, body, err := send(n, http.MethodPost, "/stream/", "prompt")
			if err == nil && strings.Contains(body, "data: x") {
				t.Errorf("part of an endless event was relayed: %.40q", body)
			}
		})
	}
	resp, body, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
	responses.Wait()
}

// TestBufferedResponsesAreBounded guards against unlimited memory for buffered responses:
// beyond the limit on their total size a response has to be relayed incrementally.
func TestBufferedResponsesAreBounded(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 3<<10)
	plain := startServer(t, "p1", "plain", func(_ *server, c net.Conn, r *http.Request) { respond(c, r, http.StatusOK, long) })
	n := startGateway(t, "g1", storeOf(definition(1), plain), func(o *gateway.Options) { o.MaxBufferedBytes = 1 << 10 })
	awaitReady(t, n)
	resp, body, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(long))
}
