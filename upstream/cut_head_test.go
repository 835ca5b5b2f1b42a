package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/exchange"
)

// cutHeads are heads of successful responses by the framing of their bodies, after interim
// responses too.
var cutHeads = map[string]string{
	"with a length":               "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
	"in chunks":                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"ended by the connection":     "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Last: value\r\n\r\n",
	"a stream":                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	"with line feeds only":        "HTTP/1.1 200 OK\nContent-Type: text/plain\n\n",
	"after interim responses":     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX: y\r\n\r\n",
	"of an older protocol":        "HTTP/1.0 200 OK\r\nX: y\r\n\r\n",
	"that closes the connection":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"without a field":             "HTTP/1.1 200 OK\r\n\r\n",
	"with an empty body to come":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"without a body (no content)": "HTTP/1.1 204 No Content\r\n\r\n",
}

// serveBytes answers each connection's first request with bytes and closes or resets the
// connection.
func serveBytes(t *testing.T, response string, reset bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, response)
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			c.Close()
		}
	}()
	return ln.Addr().String()
}

// forEachCut calls f with the address of a server that stops at each byte of each head.
func forEachCut(t *testing.T, f func(g *WithT, address, name string)) {
	for framing, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", framing, reset), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				for length := range len(head) {
					f(g, serveBytes(t, head[:length], reset), fmt.Sprintf("%q", head[:length]))
				}
			})
		}
	}
}

// Guards against a response that ends within its head and is passed on as a whole one with an
// empty body (MIXED): nothing of it may reach the router.
func TestResponseThatEndsWithinItsHeadIsNoResponse(t *testing.T) {
	forEachCut(t, func(g *WithT, address, name string) {
		sink := &recordingSink{}
		g.Expect(NewClient("http://"+address, "/health").Do(t.Context(), postCall("x"), sink)).To(MatchError(ErrInterrupted), name)
		g.Expect(sink.status).To(BeZero(), name)
	})
}

// Guards against an upstream that counts as healthy although it stops within the head of its
// answer.
func TestHealthCheckThatEndsWithinItsHeadFails(t *testing.T) {
	forEachCut(t, func(g *WithT, address, name string) {
		g.Expect(NewClient("http://"+address, "/health").CheckHealth(t.Context())).To(MatchError(ErrInterrupted), name)
	})
}

// Guards against the same in the connections of gateways.
func TestExchangeThatEndsWithinItsHeadFails(t *testing.T) {
	forEachCut(t, func(g *WithT, address, name string) {
		pool := NewPool(address, PoolOptions{DialTimeout: longIdle, UserTimeout: longIdle, IdleTimeout: longIdle})
		x, err := pool.Do(t.Context(), &Request{
			Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte("x"),
			Attribute: func(int, http.Header) exchange.Attribution { return exchange.Own },
		})
		if err == nil {
			x.Close()
		}
		g.Expect(err).To(HaveOccurred(), name)
	})
}

// Guards against a whole response that is taken for a cut one: its last bytes come one by one,
// and look like the end of a head.
func TestWholeResponsesAreReadByteByByte(t *testing.T) {
	cases := map[string]string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na\r\n\r":                       "a\r\n\r",
		"HTTP/1.1 200 OK\r\n\r\n\r\n\r":                                             "\r\n\r",
		"HTTP/1.1 200 OK\n\nbody":                                                   "body",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\r\r\n0\r\n\r\n": "\r",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n\r":                 "\r",
	}
	for response, body := range cases {
		g := NewWithT(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			for i := range len(response) {
				_, _ = io.WriteString(c, response[i:i+1])
			}
		}()
		sink := &recordingSink{}
		g.Expect(NewClient("http://"+ln.Addr().String(), "/health").Do(t.Context(), postCall("x"), sink)).To(Succeed(), "%q", response)
		g.Expect(sink.body.String()).To(Equal(body), "%q", response)
		ln.Close()
	}
}
