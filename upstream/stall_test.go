package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// TestStalledSendEndsAtTheDeadline guards against upstreams that accept a request and stop
// reading it: the call ends with its context, and the connection with the unfinished
// request is not used again.
func TestStalledSendEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	connections := make(chan struct{}, 4)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		connections <- struct{}{}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if req.ContentLength <= int64(len("body")) {
			_, _ = io.WriteString(c, okResponse(req.Header.Get("Id"), "own"))
		}
		<-done
	})
	p := newPool(t, address)
	stalled := newRequest("1")
	stalled.Body = []byte(strings.Repeat("x", 32<<20))
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := p.Do(ctx, stalled)
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
	g.Expect(roundTrip(p, "2")).To(Equal("own"))
	g.Expect(connections).To(HaveLen(2))
}
