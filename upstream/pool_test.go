package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/internal/answertest"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// startRawServer starts an upstream that calls serve for each connection, and returns its
// address.
func startRawServer(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	return answertest.Serve(t, serve)
}

func newPool(t *testing.T, address string) *upstream.Pool {
	p := upstream.NewPool(address, upstream.PoolOptions{
		DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 4,
	})
	t.Cleanup(p.Close)
	return p
}

func newRequest(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Attribute: func(_ int, h http.Header) exchange.Attribution {
			if h.Get("Id") == id {
				return exchange.Own
			}
			return exchange.Foreign
		},
	}
}

// readRequest reads one request and returns its id and body.
func readRequest(r *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	data, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(data), err
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// roundTrip sends a request and returns the complete response body.
func roundTrip(p *upstream.Pool, id string) (string, error) {
	x, err := p.Do(context.Background(), newRequest(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse(id, "re:"+body))
		}
	})
	p := newPool(t, address)
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(roundTrip(p, id)).To(Equal("re:body"))
	}
	g.Expect(connections).To(HaveLen(1))
}

func TestLateResponseToAnotherRequestIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, okResponse("before", "stale")+okResponse(id, "own"))
		}
	})
	g.Expect(roundTrip(newPool(t, address), "1")).To(Equal("own"))
}

func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	sent := make(chan struct{})
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(id, "own"))
		<-sent
		_, _ = io.WriteString(c, okResponse(id, "twice"))
		_, _, _ = readRequest(r)
	})
	p := newPool(t, address)
	g.Expect(roundTrip(p, "1")).To(Equal("own"))
	close(sent)
	// The request is sent on another connection or, if the bytes arrive after the
	// reuse, they are discarded as a response to another request.
	g.Eventually(func() (string, error) { return roundTrip(p, "2") }, "5s").Should(Equal("own"))
	g.Expect(len(connections)).To(BeNumerically(">=", 2))
}

func TestOnlyUnsentRequestsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := ln.Addr().String()
	ln.Close()
	_, err = roundTrip(newPool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrNotSent))

	address = startRawServer(t, func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	_, err = roundTrip(newPool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
}

func TestRequestIsNeverSentAgainByItself(t *testing.T) {
	g := NewWithT(t)
	requests := make(chan string, 10)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		requests <- id
		_, _ = io.WriteString(c, okResponse(id, "own"))
		if id, _, err = readRequest(r); err == nil {
			requests <- id // Returning closes the connection.
		}
	})
	p := newPool(t, address)
	g.Expect(roundTrip(p, "1")).To(Equal("own"))
	_, err := roundTrip(p, "2")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(requests).To(HaveLen(2))
}

func TestTruncatedResponseIsInterrupted(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, head)
			})
			_, err := roundTrip(newPool(t, address), "1")
			g.Expect(err).To(MatchError(upstream.ErrInterrupted))
		})
	}
}

func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			bodyStarted := make(chan struct{})
			address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
				<-bodyStarted
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			x, err := newPool(t, address).Do(context.Background(), newRequest("1"))
			g.Expect(err).NotTo(HaveOccurred())
			defer x.Close()
			buf := make([]byte, 3)
			_, err = io.ReadFull(x, buf)
			g.Expect(err).NotTo(HaveOccurred())
			close(bodyStarted)
			_, err = x.Read(buf)
			if reset {
				g.Expect(err).To(MatchError(upstream.ErrInterrupted))
				return
			}
			g.Expect(err).To(MatchError(io.EOF))
		})
	}
}

func TestMalformedResponseIsInterrupted(t *testing.T) {
	g := NewWithT(t)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
	})
	_, err := roundTrip(newPool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
}

func TestResponseBeforeTheRequestBodyIsReadIsAccepted(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	done := make(chan struct{})
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse(req.Header.Get("Id"), "early"))
		<-done // The request body is not read until the test ends.
	})
	t.Cleanup(func() { close(done) })
	p := newPool(t, address)
	large := newRequest("1")
	large.Body = []byte(strings.Repeat("x", 32<<20))
	x, err := p.Do(context.Background(), large)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("early"))
	x.Close()
	// The connection on which the body was not written completely is not reused.
	g.Expect(roundTrip(p, "2")).To(Equal("early"))
	g.Expect(connections).To(HaveLen(2))
}

func TestContextCancellationClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	received := make(chan struct{})
	address := startRawServer(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		close(received)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	_, err := newPool(t, address).Do(ctx, newRequest("1"))
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Eventually(closed, "5s").Should(BeClosed())
}

func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		id, _, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\n")
		<-release
		_, _ = io.WriteString(c, "ok")
	})
	t.Cleanup(func() { close(release) })
	p := upstream.NewPool(address, upstream.PoolOptions{DialTimeout: time.Second, UserTimeout: time.Second, MaxConnections: 2})
	t.Cleanup(p.Close)
	for _, id := range []string{"1", "2"} {
		x, err := p.Do(context.Background(), newRequest(id))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(x.Close)
	}
	_, err := p.Do(context.Background(), newRequest("3"))
	g.Expect(err).To(MatchError(upstream.ErrNotSent))
}

func TestAnnouncedKeepAliveTimeoutIsObserved(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			// The safety margin uses up a timeout of one second.
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool(t, address)
	for _, id := range []string{"1", "2"} {
		_, err := roundTrip(p, id)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(connections, "5s").Should(HaveLen(2))
}

// TestUnwantedRequestIsNotSent guards against requests that are sent although their
// caller has gone or the upstream was removed while the connection was dialed.
func TestUnwantedRequestIsNotSent(t *testing.T) {
	g := NewWithT(t)
	requests := make(chan string, 4)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			requests <- id
			_, _ = io.WriteString(c, okResponse(id, "done"))
		}
	})
	p := newPool(t, address)
	unwanted := newRequest("1")
	unwanted.ShouldSend = func() bool { return false }
	_, err := p.Do(context.Background(), unwanted)
	g.Expect(errors.Is(err, upstream.ErrWithdrawn)).To(BeTrue())
	x, err := p.Do(context.Background(), newRequest("2"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	x.Close()
	g.Expect(requests).To(Receive(Equal("2")), "the connection is reused for the next request")
	p.Close()
	_, err = p.Do(context.Background(), newRequest("3"))
	g.Expect(errors.Is(err, upstream.ErrWithdrawn)).To(BeTrue(), "the upstream was removed")
	g.Expect(requests).NotTo(Receive())
}

// TestLargeRequestIsNotSentOnceItsCallerHasGone guards against a write goroutine that
// starts late, when the caller has gone already.
func TestLargeRequestIsNotSentOnceItsCallerHasGone(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 1)
	address := startRawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if id, _, err := readRequest(r); err == nil {
			received <- id
		}
	})
	req := newRequest("1")
	req.Body = []byte(strings.Repeat("x", 64<<10))
	shouldSendCalls := 0
	req.ShouldSend = func() bool {
		shouldSendCalls++
		return shouldSendCalls == 1
	}
	_, err := newPool(t, address).Do(context.Background(), req)
	g.Expect(err).To(MatchError(upstream.ErrWithdrawn))
	g.Expect(shouldSendCalls).To(Equal(2))
	g.Consistently(received, 50*time.Millisecond).ShouldNot(Receive())
}
