package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// refusal is a response that says that the request did not run and bears no id.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"

// writeAndAwaitReceipt writes to a connection and returns once the peer's kernel has
// acknowledged all bytes.
func writeAndAwaitReceipt(c net.Conn, text string) {
	_, _ = io.WriteString(c, text)
	raw, err := c.(*net.TCPConn).SyscallConn()
	for unacknowledged := 1; err == nil && unacknowledged > 0; runtime.Gosched() {
		controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) })
		if controlErr != nil {
			return
		}
	}
}

// received records the ids of the requests that a server has read.
type received struct {
	mu  sync.Mutex
	ids []string
}

func (r *received) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

func (r *received) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.ids...)
}

// TestBytesBeforeTheRequestBelongToNone guards against unsolicited bytes that arrive between
// the check of a kept connection and the sending, and are taken for the request's response:
// a request that was running counted as not run.
func TestBytesBeforeTheRequestBelongToNone(t *testing.T) {
	for _, size := range []int{4, 64 << 10} {
		t.Run(fmt.Sprintf("body of %d bytes", size), func(t *testing.T) {
			g := NewWithT(t)
			var first received
			var connections atomic.Int64
			write, written := make(chan struct{}), make(chan struct{})
			address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
				isFirst := connections.Add(1) == 1
				for {
					id, _, err := readRequest(r)
					if err != nil {
						return
					}
					if isFirst {
						first.add(id)
					}
					_, _ = io.WriteString(c, okResponse(id, "own"))
					if isFirst {
						<-write
						writeAndAwaitReceipt(c, refusal)
						close(written)
					}
				}
			})
			p := newPool(t, address)
			g.Expect(roundTrip(p, "1")).To(Equal("own"))
			late := newUnmarkedRequest("2")
			late.Body = []byte(strings.Repeat("x", size))
			var once sync.Once
			late.ShouldSend = func() bool {
				once.Do(func() {
					close(write)
					<-written
				})
				return true
			}
			x, err := p.Do(context.Background(), late)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(x.Response.StatusCode).To(Equal(200))
			x.Close()
			g.Expect(first.list()).To(Equal([]string{"1"}), "the request is sent on another connection")
		})
	}
}

// TestBytesBeforeALateSendBelongToNone guards against unsolicited bytes that arrive while the
// goroutine that writes a large request has not begun: they are no response to it.
func TestBytesBeforeALateSendBelongToNone(t *testing.T) {
	g := NewWithT(t)
	write, written := make(chan struct{}), make(chan struct{})
	var requests received
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		<-write
		writeAndAwaitReceipt(c, refusal)
		close(written)
		if id, _, err := readRequest(r); err == nil {
			requests.add(id)
		}
	})
	p := newPool(t, address)
	r := newUnmarkedRequest("1")
	r.Body = []byte(strings.Repeat("x", 64<<10))
	calls := 0
	r.ShouldSend = func() bool {
		if calls++; calls == 2 {
			close(write)
			<-written
		}
		return true
	}
	_, err := p.Do(context.Background(), r)
	g.Expect(err).To(MatchError(upstream.ErrNotSent))
	g.Expect(requests.list()).To(BeEmpty())
}

// TestBytesOnANewConnectionPrecedeTheRequest guards against a server that answers when it
// accepts a connection: the bytes are no response, and nothing must be sent after them.
func TestBytesOnANewConnectionPrecedeTheRequest(t *testing.T) {
	g := NewWithT(t)
	written := make(chan struct{})
	var requests received
	address := startRawServer(t, func(c net.Conn, r *bufio.Reader) {
		writeAndAwaitReceipt(c, refusal)
		close(written)
		if id, _, err := readRequest(r); err == nil {
			requests.add(id)
		}
	})
	r := newUnmarkedRequest("1")
	r.ShouldSend = func() bool {
		<-written
		return true
	}
	_, err := newPool(t, address).Do(context.Background(), r)
	g.Expect(err).To(MatchError(upstream.ErrNotSent))
	g.Expect(requests.list()).To(BeEmpty())
}
