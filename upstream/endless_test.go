package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/internal/answertest"
	"fulmarspindle.example/fulmarspindle/upstream"
)

const (
	// concurrentCalls is the number of concurrent calls to an endless upstream.
	concurrentCalls = 64
	// maxHeapGrowth limits the memory in bytes that all of them take together.
	maxHeapGrowth = 16 << 20
)

// TestEndlessHeadsEndTheCall guards against upstreams that send endless bytes in place
// of a response head. The call must fail, within bounded memory and without a timeout.
func TestEndlessHeadsEndTheCall(t *testing.T) {
	servers := map[string]func(net.Conn, *bufio.Reader){
		"line":             answertest.RespondEndlessly("HTTP/1.1 200 OK\r\nId: 1\r\nA: ", "a"),
		"status line":      answertest.RespondEndlessly("HTTP/1.1 200 ", "O"),
		"fields":           answertest.RespondEndlessly("HTTP/1.1 200 OK\r\n", "a:\r\n"),
		"interim heads":    answertest.RespondEndlessly("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"noise":            answertest.RespondEndlessly("", "\x17\x03"),
		"empty lines":      answertest.RespondEndlessly("", "\r\n"),
		"unrelated body":   answertest.RespondEndlessly("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "a"),
		"unrelated chunks": answertest.RespondEndlessly("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
	}
	for name, serve := range servers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := startRawServer(t, serve)
			var failed atomic.Int64
			growth := answertest.PeakHeapGrowth(func() {
				var calls sync.WaitGroup
				for range concurrentCalls {
					calls.Go(func() {
						p := upstream.NewPool(address, upstream.PoolOptions{})
						defer p.Close()
						if _, err := p.Do(context.Background(), newRequest("1")); err != nil {
							failed.Add(1)
						}
					})
				}
				calls.Wait()
			})
			g.Expect(failed.Load()).To(BeEquivalentTo(concurrentCalls))
			g.Expect(growth).To(BeNumerically("<", maxHeapGrowth))
		})
	}
}

// TestLargeValidHeadIsAccepted guards against limits that reject valid responses.
func TestLargeValidHeadIsAccepted(t *testing.T) {
	g := NewWithT(t)
	head := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n"
	for range 100 {
		head += "Field: " + strings.Repeat("v", 500) + "\r\n"
	}
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody")
		}
	})
	g.Expect(roundTrip(newPool(t, address), "1")).To(Equal("body"))
}

// TestTricklingHeadEndsAtTheDeadline guards against upstreams that send a head byte by
// byte to outlast the deadline.
func TestTricklingHeadEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nField: ")
		for sent := 0; err == nil && sent < 60<<10; sent++ {
			_, err = c.Write([]byte("v"))
		}
		for err == nil {
			_, err = r.ReadByte() // Waits until the client closes the connection.
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	started := time.Now()
	_, err := newPool(t, address).Do(ctx, newRequest("1"))
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(time.Since(started)).To(BeNumerically("<", 5*time.Second))
}
