package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// scriptedServer is an upstream that sends a fixed answer for each request of a connection,
// and an own one for each further request.
type scriptedServer struct {
	address     string
	connections atomic.Int64
	requests    received
}

// startScripted starts a server whose first connection sends answers in order.
func startScripted(t *testing.T, answers ...func(id string) string) *scriptedServer {
	s := &scriptedServer{}
	s.address = startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		isFirst := s.connections.Add(1) == 1
		for i := 0; ; i++ {
			id, _, err := readRequest(r)
			if err != nil {
				return
			}
			s.requests.add(id)
			answer := okResponse(id, "own")
			if isFirst && i < len(answers) {
				answer = answers[i](id)
			}
			_, _ = io.WriteString(c, answer)
		}
	})
	return s
}

// sends returns an answer that does not depend on the request.
func sends(text string) func(string) string { return func(string) string { return text } }

func ownAnswer(id string) string { return okResponse(id, "own") }

// statusOf sends a request and returns the status of its response.
func statusOf(p *upstream.Pool, r *upstream.Request) (int, error) {
	x, err := p.Do(context.Background(), r)
	if err != nil {
		return 0, err
	}
	defer x.Close()
	_, err = io.Copy(io.Discard, x)
	return x.Response.StatusCode, err
}

// TestLateCopyOfAnUnmarkedRefusalMeetsNoRequest guards against a second copy of a refusal
// without an id that comes where the next response is expected: it was taken for the response
// to a request that was running.
func TestLateCopyOfAnUnmarkedRefusalMeetsNoRequest(t *testing.T) {
	g := NewWithT(t)
	s := startScripted(t, sends(refusal), func(id string) string { return refusal + okResponse(id, "own") })
	p := newPool(t, s.address)
	g.Expect(statusOf(p, newUnmarkedRequest("1"))).To(Equal(http.StatusServiceUnavailable))
	g.Expect(statusOf(p, newUnmarkedRequest("2"))).To(Equal(http.StatusOK))
	g.Expect(s.connections.Load()).To(BeEquivalentTo(2), "the connection of the refusal is not reused")
}

// TestRefusalsOfASoundUpstreamAreAccepted guards against a rule that takes the refusals of
// full upstreams for unknown outcomes.
func TestRefusalsOfASoundUpstreamAreAccepted(t *testing.T) {
	marked := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nId: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	answers := map[string]func(string) string{
		"without a body": sends(refusal),
		"with a body":    sends("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 4\r\n\r\nfull"),
		"in chunks":      sends("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n"),
		"without length": sends("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\n\r\n"),
		"that closes":    sends("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
		"after a 102":    sends("HTTP/1.1 102 Processing\r\n\r\n" + refusal),
		"with an id":     marked,
		"with a wait":    sends("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
	}
	for name, answer := range answers {
		for _, earlier := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, %d requests before", name, earlier), func(t *testing.T) {
				g := NewWithT(t)
				var script []func(string) string
				for range earlier {
					script = append(script, ownAnswer)
				}
				s := startScripted(t, append(script, answer)...)
				p := newPool(t, s.address)
				for i := range earlier {
					g.Expect(roundTrip(p, fmt.Sprint("before", i))).To(Equal("own"))
				}
				g.Expect(statusOf(p, newUnmarkedRequest("1"))).To(Equal(http.StatusServiceUnavailable))
				g.Expect(s.connections.Load()).To(BeEquivalentTo(1))
			})
		}
	}
}

// TestEarlyRefusalOfALongBodyIsAccepted guards against a rule that takes a refusal that comes
// before the body was written whole for bytes that belong to no request.
func TestEarlyRefusalOfALongBodyIsAccepted(t *testing.T) {
	g := NewWithT(t)
	done := make(chan struct{})
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, refusal)
		<-done
	})
	t.Cleanup(func() { close(done) })
	r := newUnmarkedRequest("1")
	r.Body = []byte(strings.Repeat("x", 32<<20))
	g.Expect(statusOf(newPool(t, address), r)).To(Equal(http.StatusServiceUnavailable))
}

// TestCostOfUnmarkedRefusals guards against a rule that opens more connections than one for
// each refusal without an id.
func TestCostOfUnmarkedRefusals(t *testing.T) {
	const requests = 1000
	for name, c := range map[string]struct{ shedEvery, connections int }{
		"none shed": {0, 1}, "a tenth shed": {10, 100},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var connections, count atomic.Int64
			address := startRawServer(t, func(conn net.Conn, r *bufio.Reader) {
				connections.Add(1)
				for {
					id, _, err := readRequest(r)
					if err != nil {
						return
					}
					answer := okResponse(id, "own")
					if n := int(count.Add(1)); c.shedEvery > 0 && n%c.shedEvery == 0 {
						answer = refusal
					}
					_, _ = io.WriteString(conn, answer)
				}
			})
			p := newPool(t, address)
			for i := range requests {
				_, err := statusOf(p, newUnmarkedRequest(fmt.Sprint(i)))
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(connections.Load()).To(BeEquivalentTo(c.connections))
		})
	}
}
