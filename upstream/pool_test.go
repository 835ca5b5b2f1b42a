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

	"fulmarspindle.example/fulmarspindle/upstream"
)

// peer is a raw upstream: serve gets each connection.
func peer(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

func pool(t *testing.T, address string) *upstream.Pool {
	p := upstream.NewPool(address, upstream.PoolOptions{
		DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 4,
	})
	t.Cleanup(p.Close)
	return p
}

func message(id string) *upstream.Request {
	return &upstream.Request{
		Method: http.MethodPost, URI: "/a/b?c=d", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// readRequest reads one request off a connection.
func readRequest(r *bufio.Reader) (id, body string, err error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	data, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(data), err
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// exchangeOnce sends a request and reads its whole answer.
func exchangeOnce(p *upstream.Pool, id string) (string, error) {
	x, err := p.Do(context.Background(), message(id))
	if err != nil {
		return "", err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), err
}

func TestConnectionIsKeptForTheNextRequest(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id, body, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer(id, "re:"+body))
		}
	})
	p := pool(t, address)
	for _, id := range []string{"1", "2", "3"} {
		g.Expect(exchangeOnce(p, id)).To(Equal("re:body"))
	}
	g.Expect(connections).To(HaveLen(1))
}

func TestLateAnswerToAnotherRequestIsSkipped(t *testing.T) {
	g := NewWithT(t)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, answer("before", "stale")+answer(id, "own"))
		}
	})
	g.Expect(exchangeOnce(pool(t, address), "1")).To(Equal("own"))
}

func TestConnectionWithUnaskedBytesIsNotUsedAgain(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	sent := make(chan struct{})
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(id, "own"))
		<-sent
		_, _ = io.WriteString(c, answer(id, "twice"))
		_, _, _ = readRequest(r)
	})
	p := pool(t, address)
	g.Expect(exchangeOnce(p, "1")).To(Equal("own"))
	close(sent)
	// The bytes may still be on their way: the request is sent on a connection
	// without them, or they are skipped as an answer to another request.
	g.Eventually(func() (string, error) { return exchangeOnce(p, "2") }, "5s").Should(Equal("own"))
	g.Expect(len(connections)).To(BeNumerically(">=", 2))
}

func TestOnlyUnsentRequestsAreNotSent(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := ln.Addr().String()
	ln.Close()
	_, err = exchangeOnce(pool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrNotSent))

	address = peer(t, func(_ net.Conn, r *bufio.Reader) { _, _, _ = readRequest(r) })
	_, err = exchangeOnce(pool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(errors.Is(err, upstream.ErrNotSent)).To(BeFalse())
}

func TestRequestIsNeverSentAgainByItself(t *testing.T) {
	g := NewWithT(t)
	requests := make(chan string, 10)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		id, _, err := readRequest(r)
		if err != nil {
			return
		}
		requests <- id
		_, _ = io.WriteString(c, answer(id, "own"))
		if id, _, err = readRequest(r); err == nil {
			requests <- id // And the connection breaks.
		}
	})
	p := pool(t, address)
	g.Expect(exchangeOnce(p, "1")).To(Equal("own"))
	_, err := exchangeOnce(p, "2")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(requests).To(HaveLen(2))
}

func TestTruncatedAnswersAreNotWhole(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 100\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := peer(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, head)
			})
			_, err := exchangeOnce(pool(t, address), "1")
			g.Expect(err).To(MatchError(upstream.ErrInterrupted))
		})
	}
}

func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			begun := make(chan struct{})
			address := peer(t, func(c net.Conn, r *bufio.Reader) {
				_, _, _ = readRequest(r)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall")
				<-begun
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			x, err := pool(t, address).Do(context.Background(), message("1"))
			g.Expect(err).NotTo(HaveOccurred())
			defer x.Close()
			buf := make([]byte, 3)
			_, err = io.ReadFull(x, buf)
			g.Expect(err).NotTo(HaveOccurred())
			close(begun)
			_, err = x.Read(buf)
			if reset {
				g.Expect(err).To(MatchError(upstream.ErrInterrupted))
				return
			}
			g.Expect(err).To(MatchError(io.EOF))
		})
	}
}

func TestNonsenseIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n")
	})
	_, err := exchangeOnce(pool(t, address), "1")
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
}

func TestAnswerBeforeTheBodyIsReadIsTaken(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	done := make(chan struct{})
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("Id"), "early"))
		<-done // The body is not read meanwhile.
	})
	t.Cleanup(func() { close(done) })
	p := pool(t, address)
	long := message("1")
	long.Body = []byte(strings.Repeat("x", 32<<20))
	x, err := p.Do(context.Background(), long)
	g.Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("early"))
	x.Close()
	// The connection with the rest of the body is not used again.
	g.Expect(exchangeOnce(p, "2")).To(Equal("early"))
	g.Expect(connections).To(HaveLen(2))
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	received := make(chan struct{})
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
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
	_, err := pool(t, address).Do(ctx, message("1"))
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Eventually(closed, "5s").Should(BeClosed())
}

func TestConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		id, _, _ := readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\n")
		<-release
		_, _ = io.WriteString(c, "ok")
	})
	t.Cleanup(func() { close(release) })
	p := upstream.NewPool(address, upstream.PoolOptions{DialTimeout: time.Second, UserTimeout: time.Second, MaxConnections: 2})
	t.Cleanup(p.Close)
	for _, id := range []string{"1", "2"} {
		x, err := p.Do(context.Background(), message(id))
		g.Expect(err).NotTo(HaveOccurred())
		t.Cleanup(x.Close)
	}
	_, err := p.Do(context.Background(), message("3"))
	g.Expect(err).To(MatchError(upstream.ErrNotSent))
}

func TestAnnouncedIdleTimeoutIsKept(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 10)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			// A timeout of one second leaves no time behind the margin.
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := pool(t, address)
	for _, id := range []string{"1", "2"} {
		_, err := exchangeOnce(p, id)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(connections, "5s").Should(HaveLen(2))
}

// Guards against requests that are sent on after their caller or the upstream left
// while the connection was made.
func TestNothingIsSentThatNobodyWants(t *testing.T) {
	g := NewWithT(t)
	requests := make(chan string, 4)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			requests <- id
			_, _ = io.WriteString(c, answer(id, "done"))
		}
	})
	p := pool(t, address)
	unwanted := message("1")
	unwanted.ShouldSend = func() bool { return false }
	_, err := p.Do(context.Background(), unwanted)
	g.Expect(errors.Is(err, upstream.ErrWithdrawn)).To(BeTrue())
	x, err := p.Do(context.Background(), message("2"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.ReadAll(x)
	g.Expect(err).NotTo(HaveOccurred())
	x.Close()
	g.Expect(requests).To(Receive(Equal("2")), "the connection serves the next one")
	p.Close()
	_, err = p.Do(context.Background(), message("3"))
	g.Expect(errors.Is(err, upstream.ErrWithdrawn)).To(BeTrue(), "the upstream left")
	g.Expect(requests).NotTo(Receive())
}

// TestLongRequestIsNotSentOnceItsCallerLeft guards against a writer that has its turn
// late: nobody wants the request any more by then.
func TestLongRequestIsNotSentOnceItsCallerLeft(t *testing.T) {
	g := NewWithT(t)
	received := make(chan string, 1)
	address := peer(t, func(_ net.Conn, r *bufio.Reader) {
		if id, _, err := readRequest(r); err == nil {
			received <- id
		}
	})
	m := message("1")
	m.Body = []byte(strings.Repeat("x", 64<<10))
	asked := 0
	m.ShouldSend = func() bool {
		asked++
		return asked == 1
	}
	_, err := pool(t, address).Do(context.Background(), m)
	g.Expect(err).To(MatchError(upstream.ErrWithdrawn))
	g.Expect(asked).To(Equal(2))
	g.Consistently(received, 50*time.Millisecond).ShouldNot(Receive())
}
