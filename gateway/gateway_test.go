package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

func TestForwardedRequestHasItsHeadersReplaced(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	n := startGatewayWith(t, s)
	resp, body, err := send(n, "POST", "/keyed/x%2Fy?q=1", "order", "Key", "k1", "Team", "forged", "Time-Left", "1500")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(resp.Header.Get("Signed-By")).To(Equal("seal"))
	g.Expect(body).To(Equal("done"))
	r, sent := s.request(0)
	g.Expect(r.RequestURI).To(Equal("/keyed/x%2Fy?q=1"))
	g.Expect(r.Host).To(Equal("h.example"))
	g.Expect(sent).To(Equal("order"))
	g.Expect(r.Header.Get("Team")).To(Equal("t1"))
	g.Expect(r.Header).NotTo(HaveKey("Key"))
	g.Expect(r.Header.Get("Upstream-Id")).To(Equal("i-1"))
	var left int
	_, err = fmt.Sscan(r.Header.Get("Time-Left"), &left)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(left).To(BeNumerically("~", 1500, 200))
}

// Many callers slowly send large bodies: the memory for buffered bodies has to stay
// limited.
func TestBufferedRequestBodiesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	configuration := definition(1)
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = time.Minute
	}
	store := storeOf(configuration, s)
	n := startGateway(t, "g1", store, func(o *gateway.Options) { o.MaxBufferedBytes = 3000 })
	awaitReady(t, n)
	// The first request stops after half of its body.
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	half := strings.Repeat("x", 2000)
	fmt.Fprintf(c, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(half), half)
	status := func(length int) int {
		resp, _, err := send(n, "POST", "/safe/", strings.Repeat("x", length))
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}
	g.Eventually(func() int64 { return n.State().BufferedBytes }, eventuallyTimeout).Should(BeEquivalentTo(len(half)))
	g.Expect(status(1500)).To(Equal(503))
	g.Expect(status(500)).To(Equal(200))
	fmt.Fprint(c, "0\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Eventually(func() int { return status(1500) }, eventuallyTimeout).Should(Equal(200))
}

func TestRefusalStatuses(t *testing.T) {
	s := startServer(t, "i-1", "plain", respondDone)
	n := startGatewayWith(t, s)
	for name, c := range map[string]struct {
		path, body string
		header     []string
		status     int
	}{
		"no route":      {"/nowhere/", "", nil, 404},
		"unknown key":   {"/keyed/", "", []string{"Key", "k9"}, 401},
		"no key":        {"/keyed/", "", nil, 401},
		"body too long": {"/safe/", strings.Repeat("x", 1<<13), nil, 413},
		"bad deadline":  {"/safe/", "", []string{"Time-Left", "x"}, 400},
		"no engine":     {"/stream/", "", nil, 503},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			resp, _, err := send(n, "POST", c.path, c.body, c.header...)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status))
			g.Expect(resp.Header.Get("Retry-After") != "").To(Equal(c.status == 503))
			g.Expect(s.count()).To(BeZero())
		})
	}
}

func TestWithoutConfigurationRequestsGetRetryAfter(t *testing.T) {
	g := NewWithT(t)
	n := startGateway(t, "g1", newMemoryStore(), nil)
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	ready, err := http.Get(n.ready)
	g.Expect(err).NotTo(HaveOccurred())
	ready.Body.Close()
	g.Expect(ready.StatusCode).To(Equal(503))
}

func TestSafeRequestIsRetried(t *testing.T) {
	for name, fail := range map[string]func(net.Conn, *http.Request){
		"own failure": func(c net.Conn, r *http.Request) { respond(c, r, 500, "broken") },
		"reset":       func(c net.Conn, _ *http.Request) { c.Close() },
		"not run": func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"nonsense": func(c net.Conn, _ *http.Request) { _, _ = io.WriteString(c, "?\r\n\r\n"); c.Close() },
		"truncated": func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: s\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("Request-Id"))
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			first := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) { fail(c, r) })
			second := startServer(t, "i-2", "plain", respondDone)
			n := startGatewayWith(t, first, second)
			for range 4 {
				resp, body, err := send(n, "GET", "/safe/", "")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(200))
				g.Expect(body).To(Equal("done"))
			}
			g.Expect(first.count()).To(BeNumerically(">", 0))
		})
	}
}

func TestLastFailureOfTheUpstreamIsRelayedUnchanged(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 500, "broken") })
	n := startGatewayWith(t, s)
	resp, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(500))
	g.Expect(resp.Header.Get("Signed-By")).To(Equal("seal"))
	g.Expect(body).To(Equal("broken"))
}

func TestUnsafeRequestRunsAtMostOnce(t *testing.T) {
	g := NewWithT(t)
	fail := func(_ *server, c net.Conn, _ *http.Request) { c.Close() }
	first, second := startServer(t, "i-1", "plain", fail), startServer(t, "i-2", "plain", fail)
	n := startGatewayWith(t, first, second)
	resp, _, err := send(n, "POST", "/unsafe/", "order")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(502))
	g.Expect(first.count() + second.count()).To(Equal(1))
}

func TestUnsafeRequestThatDidNotRunGetsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	refuse := func(_ *server, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 421 X\r\nUpstream-Id: i-9\r\nContent-Length: 0\r\n\r\n")
	}
	first := startServer(t, "i-1", "plain", refuse)
	n := startGatewayWith(t, first)
	resp, _, err := send(n, "POST", "/unsafe/", "order")
	g.Expect(err).NotTo(HaveOccurred())
	// No upstream ran the request, so that the caller may retry.
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
}

func TestRequestTimesOutAtItsDeadline(t *testing.T) {
	g := NewWithT(t)
	gone := make(chan struct{})
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1)) // Returns when the gateway closes the connection.
		close(gone)
	})
	n := startGatewayWith(t, s)
	began := time.Now()
	resp, _, err := send(n, "POST", "/unsafe/", "order", "Time-Left", "300")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(504))
	g.Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
	g.Eventually(gone, eventuallyTimeout).Should(BeClosed())
}

func TestCallerDisconnectCancelsAtTheUpstream(t *testing.T) {
	g := NewWithT(t)
	received, gone := make(chan struct{}), make(chan struct{})
	s := startServer(t, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		chunk(c, event(1))
		close(received)
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	})
	n := startGatewayWith(t, s)
	ctx, disconnect := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", n.url+"/resumable/", nil)
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Request-Id", "id")
	go func() {
		<-received
		disconnect()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_, err = io.ReadAll(resp.Body)
		g.Expect(err).To(HaveOccurred())
		resp.Body.Close()
	}
	g.Eventually(gone, eventuallyTimeout).Should(BeClosed())
	g.Expect(s.count()).To(Equal(1))
}

func TestBrokenStreamResumesAtAnotherEngine(t *testing.T) {
	g := NewWithT(t)
	handle := func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		if r.Header.Get("Last-Event-Id") == "" {
			chunk(c, events(1, 3)+"id: 4\nda") // Breaks off within an event.
			c.Close()
			return
		}
		// The resumed stream starts with an event that the caller already has.
		chunk(c, events(3, 6))
		lastChunk(c)
	}
	first, second := startServer(t, "i-1", "engines", handle), startServer(t, "i-2", "engines", handle)
	n := startGatewayWith(t, first, second)
	resp, body, err := send(n, "POST", "/resumable/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Expect(body).To(Equal(events(1, 6)))
	g.Expect([]int{first.count(), second.count()}).To(Equal([]int{1, 1}))
	resumed := first
	if r, _ := first.request(0); r.Header.Get("Last-Event-Id") == "" {
		resumed = second
	}
	r, _ := resumed.request(0)
	g.Expect(r.Header.Get("Last-Event-Id")).To(Equal("3"))
}

func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	for _, path := range []string{"/stream/", "/resumable/"} {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			s := startServer(t, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
				streamHead(c, r)
				chunk(c, events(1, 3))
				c.Close()
			})
			n := startGatewayWith(t, s)
			resp, body, err := send(n, "POST", path, "")
			g.Expect(err).To(HaveOccurred())
			if resp != nil {
				g.Expect(body).To(Equal(events(1, 3)))
			}
			g.Expect(s.count()).To(Equal(1))
		})
	}
}

func TestLargeResponseIsRelayedIncrementally(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("0123456789", 5000)
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 200, long) })
	n := startGatewayWith(t, s)
	_, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(long))
}

func TestConflictingContentLengthsAreRejected(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	n := startGatewayWith(t, s)
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	inner := "GET /safe/inner HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n"
	fmt.Fprintf(c, "POST /safe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: outer\r\nContent-Length: %d\r\nContent-Length: 3\r\n\r\n%s", len(inner), inner)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
	g.Expect(resp.StatusCode).To(Equal(400))
	g.Consistently(s.count, "100ms").Should(BeZero())
}

// gatedListener accepts nothing until release is closed.
type gatedListener struct {
	net.Listener
	release chan struct{}
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

func TestRequestOfADisconnectedCallerIsNotSent(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	store := storeOf(definition(1), s)
	gated := gatedListener{Listener: listen(t), release: make(chan struct{})}
	n := startGatewayOn(t, "g1", store, nil, gated)
	awaitReady(t, n)
	for i := range 90 {
		c, err := net.Dial("tcp", gated.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(c, "GET /safe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: left-%d\r\n\r\n", i)
		c.Close()
	}
	close(gated.release)
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	g.Consistently(s.count, "200ms").Should(Equal(1))
}

// An upstream hangs while its registration stays valid: it has to be ejected.
func TestHangingUpstreamIsEjected(t *testing.T) {
	g := NewWithT(t)
	hanging := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) })
	healthy := startServer(t, "i-2", "plain", respondDone)
	store := newMemoryStore()
	d := definition(1)
	d.Routes[0].Objective = 50 * time.Millisecond
	store.configure(d)
	store.register(hanging.Upstream, false)
	store.register(healthy.Upstream, false)
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	served := 0
	for range 30 {
		resp, _, err := send(n, "GET", "/safe/", "", "Time-Left", "200")
		g.Expect(err).NotTo(HaveOccurred())
		if resp.StatusCode == 200 {
			served++
		}
	}
	// Two consecutive broken attempts eject the upstream at the latest.
	g.Expect(hanging.count()).To(BeNumerically("<=", 2))
	g.Expect(served).To(BeNumerically(">=", 28))
}
