package gateway

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that accepts more new connections than it can decide on,
// which delays the requests that are already running.
func TestUndecidedConnectionsAreLimited(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln := newCallerListener(inner, 10, func(bool) {})
	ln.undecidedSlots = make(chan struct{}, 2)
	ln.firstRequestTimeout = time.Hour
	defer ln.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 5 {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
	}
	var first, second *callerConn
	g.Eventually(accepted).Should(Receive(&first))
	g.Eventually(accepted).Should(Receive(&second))
	g.Consistently(accepted, 50*time.Millisecond).ShouldNot(Receive())
	first.markDecided()
	first.markDecided()
	var third *callerConn
	g.Eventually(accepted).Should(Receive(&third), "one was decided on")
	g.Consistently(accepted, 50*time.Millisecond).ShouldNot(Receive())
	g.Expect(second.Close()).To(Succeed())
	g.Eventually(accepted).Should(Receive(), "one was closed")
}

func TestConnectionWithoutRequestReleasesItsSlot(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln := newCallerListener(inner, 10, func(bool) {})
	ln.undecidedSlots = make(chan struct{}, 1)
	ln.firstRequestTimeout = time.Millisecond
	defer ln.Close()
	for range 3 {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		earlyConn, err := ln.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		defer earlyConn.Close()
	}
}

// Guards against an overloaded process that spends its time on connections whose
// callers have already disconnected.
func TestConnectionsClosedUnreadAreSkipped(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln := newCallerListener(inner, 10, func(bool) {})
	defer ln.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	before := closedUnread.Value()
	for range 3 {
		g.Expect(dial().Close()).To(Succeed())
	}
	present := dial()
	defer present.Close()
	c, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(c.RemoteAddr().String()).To(Equal(present.LocalAddr().String()))
	g.Expect(closedUnread.Value() - before).To(BeEquivalentTo(3))
}

// Guards against requests that are treated as new although they spent most of their
// time waiting in the socket buffer.
func TestTimeInTheSocketBufferCounts(t *testing.T) {
	// The kernel's clock ticks, which last up to 10 ms, limit the resolution.
	const tick = 10 * time.Millisecond
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln := newCallerListener(inner, 10, func(bool) {})
	defer ln.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	sent := time.Now()
	_, err = client.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	c, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	ctx := withCallerConn(context.Background(), c)
	g.Eventually(func() time.Duration { return timeSinceLastReceive(ctx) }).Should(BeNumerically(">=", 20*time.Millisecond))
	g.Expect(timeSinceLastReceive(ctx)).To(BeNumerically("<=", time.Since(sent)+tick))
	g.Expect(timeSinceLastReceive(context.Background())).To(BeZero())
}

// Guards against a shutdown that closes keep-alive connections with a request that has
// arrived but was not read, because the process is short of CPU time.
func TestStopWaitsUntilReceivedDataIsRead(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln := newCallerListener(inner, 10, func(bool) {})
	defer ln.Close()
	client, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	c, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	request := []byte("GET / HTTP/1.1\r\n\r\n")
	_, err = client.Write(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(ln.unreadCount).Should(Equal(1))
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		waitUntilRead(ln, time.Now().Add(time.Hour))
	}()
	g.Consistently(waited, 100*time.Millisecond).ShouldNot(BeClosed())
	_, err = io.ReadFull(c, make([]byte, len(request)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(waited).Should(BeClosed())
	g.Expect(c.Close()).To(Succeed())
	g.Expect(ln.open).To(BeEmpty())
}

// Callers connect faster than they are accepted and give up before they are read. The
// accept queue has to be limited so that accepted callers are still connected.
func TestBacklogIsLimitedByProcessors(t *testing.T) {
	g := NewWithT(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	g.Expect(limitBacklog(ln, 0.1)).To(Succeed())
	connected := 0
	for range 3 * minBacklog {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
		connected++
	}
	// The kernel queues one connection more than the backlog.
	g.Expect(connected).To(BeNumerically("~", minBacklog, 1))
}

// Callers connect faster than they are accepted, so that all in the queue have waited
// too long. The waiting connections have to be reset at once, and later ones accepted.
func TestWaitingConnectionsAreResetAtOnce(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ln, err := newReopenListener(inner, 0)
	g.Expect(err).NotTo(HaveOccurred())
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	early := dial()
	defer early.Close()
	earlyConn, err := ln.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	var waiting []net.Conn
	for range 5 {
		c := dial()
		defer c.Close()
		waiting = append(waiting, c)
	}
	accepted := make(chan net.Conn, 1)
	g.Expect(ln.resetPending()).To(Succeed())
	for _, c := range waiting {
		_, err := c.Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred())
	}
	go func() {
		c, err := ln.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	late := dial()
	defer late.Close()
	var c net.Conn
	g.Eventually(accepted).Should(Receive(&c))
	g.Expect(c.RemoteAddr().String()).To(Equal(late.LocalAddr().String()))
	_, err = earlyConn.Write([]byte("x"))
	g.Expect(err).NotTo(HaveOccurred(), "accepted connections stay open")
	g.Expect(ln.Close()).To(Succeed())
	g.Expect(ln.resetPending()).To(Succeed())
	_, err = ln.Accept()
	g.Expect(err).To(MatchError(net.ErrClosed))
}
