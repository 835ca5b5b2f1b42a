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

// writeForever sends a block again and again until the connection is closed.
func writeForever(c net.Conn, block string) {
	var err error
	for err == nil {
		_, err = io.WriteString(c, block)
	}
}

// TestEndlessEventIsBrokenOff guards against upstreams that begin an event and never
// end it: the callers' connections are broken off, others are served.
func TestEndlessEventIsBrokenOff(t *testing.T) {
	g := NewWithT(t)
	const callers = 64
	block := strings.Repeat("data: x\n", 2048)
	engine := startServer(t, "e1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		writeForever(c, fmt.Sprintf("%x\r\n%s\r\n", len(block), block))
	})
	n := startGatewayWith(t, engine, startServer(t, "p1", "plain", respondDone))
	var answers sync.WaitGroup
	for range callers {
		answers.Go(func() {
			_, body, err := send(n, http.MethodPost, "/stream/", "prompt")
			if err == nil && strings.Contains(body, "data: x") {
				t.Errorf("an event without end was passed on: %.40q", body)
			}
		})
	}
	resp, body, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal("done"))
	answers.Wait()
}

// TestHeldAnswersAreBounded guards against answers that are held until they are
// whole: past the bound on all of them an answer is passed on as it comes.
func TestHeldAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 3<<10)
	desk := startServer(t, "p1", "plain", func(_ *server, c net.Conn, r *http.Request) { respond(c, r, http.StatusOK, long) })
	n := startGateway(t, "g1", storeOf(definition(1), desk), func(o *gateway.Options) { o.MaxBufferedBytes = 1 << 10 })
	awaitReady(t, n)
	resp, body, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
	g.Expect(body).To(Equal(long))
}
