package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"golang.org/x/sys/unix"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/slowcaller"
)

const (
	// smallSocketBuffer is the size of socket buffers, in bytes, with which a caller that
	// does not read fills its connection soon.
	smallSocketBuffer = 4 << 10
	// heldResponseBytes and heldTotalBytes are the bounds for slow callers in tests.
	heldResponseBytes = 256 << 10
	heldTotalBytes    = 1 << 20
)

// smallBufferListener gives accepted connections a small send buffer.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(smallSocketBuffer)
	}
	return c, err
}

// startSlowCallerGateway starts a ready gateway whose connections to callers have small
// buffers, and returns its log of warnings and ended attempts.
func startSlowCallerGateway(t testing.TB, change func(*gateway.Options), servers ...*server) (*node, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	configuration := definition(1)
	for i := range configuration.Routes {
		configuration.Routes[i].Timeout = eventuallyTimeout
		// On a busy machine requests are held for longer than a short objective allows,
		// and admission would refuse some of those that the tests count.
		configuration.Routes[i].Objective = eventuallyTimeout
	}
	configuration.Limits.BodyBytes = 4 << 20
	configuration.Services[1].Engine.Slots = 1000
	n := startGatewayOn(t, "g1", storeOf(configuration, servers...), func(o *gateway.Options) {
		o.Log = zap.New(core)
		o.SlowCallers = slowcaller.Options{MaxResponseBytes: heldResponseBytes, MaxTotalBytes: heldTotalBytes}
		o.MaxBufferedBytes = 8 << 20
		o.MaxConnections = 1000
		if change != nil {
			change(o)
		}
	}, smallBufferListener{listen(t)})
	awaitReady(t, n)
	return n, logs
}

// slowCaller is a caller that reads its response only when told to.
type slowCaller struct {
	net.Conn
	reader *bufio.Reader
}

// dialSlowCaller sends a request and reads nothing. header holds lines of the head.
func dialSlowCaller(t testing.TB, n *node, path, body string, header ...string) *slowCaller {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallSocketBuffer)
		})
		return errors.Join(err, failed)
	}}
	c, err := dialer.DialContext(context.Background(), "tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	caller := &slowCaller{Conn: c, reader: bufio.NewReaderSize(c, smallSocketBuffer)}
	caller.request(path, body, header...)
	return caller
}

func (c *slowCaller) request(path, body string, header ...string) {
	head := append([]string{"POST " + path + " HTTP/1.1", "Host: h.example", "Request-Id: id-" + path}, header...)
	fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(head, "\r\n"), len(body), body)
}

// readAll reads one response. The error is not nil if it is not complete.
func (c *slowCaller) readAll() (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(eventuallyTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// largeEvent is an event of about 1 KB.
func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat(strconv.Itoa(id%10), 1000))
}

func largeEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(largeEvent(id))
	}
	return b.String()
}

// sendLargeEvents streams events without the end of the response.
func sendLargeEvents(c net.Conn, r *http.Request, from, to int) {
	streamHead(c, r)
	for id := from; id <= to; id++ {
		chunk(c, largeEvent(id))
	}
}

// eventCount is the number of events that a request's path asks for.
func eventCount(r *http.Request) int {
	count, _ := strconv.Atoi(path.Base(r.URL.Path))
	return count
}

// respondLargeEvents streams as many events as the request's path asks for.
func respondLargeEvents(_ *server, c net.Conn, r *http.Request) {
	sendLargeEvents(c, r, 1, eventCount(r))
	lastChunk(c)
}

// holdLargeEvents does the same, and does not end the response.
func holdLargeEvents(_ *server, c net.Conn, r *http.Request) {
	sendLargeEvents(c, r, 1, eventCount(r))
	_, _ = c.Read(make([]byte, 1)) // Waits until the gateway closes the connection.
}

// brokenOff returns the log lines of responses that were broken off with a code.
func brokenOff(logs *observer.ObservedLogs, code string) []map[string]any {
	var lines []map[string]any
	for _, entry := range logs.FilterMessage("answer broken off").FilterField(zap.String("code", code)).All() {
		lines = append(lines, entry.ContextMap())
	}
	return lines
}

func expectNothingHeld(t testing.TB, n *node) {
	t.Helper()
	NewWithT(t).Eventually(func() gateway.SlowCallers { return n.State().SlowCallers }, eventuallyTimeout).Should(BeZero())
	NewWithT(t).Eventually(func() int64 { return n.State().BufferedBytes }, eventuallyTimeout).Should(BeZero())
}

// TestUpstreamIsReadWhateverTheCallerDoes guards against an engine that is not read while
// its caller does not read, against events that are lost or out of order, against
// times that count the caller's, and against a connection that is not usable afterwards.
func TestUpstreamIsReadWhateverTheCallerDoes(t *testing.T) {
	g := NewWithT(t)
	const count = 200
	n, logs := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", respondLargeEvents))
	gaps := gapCount()
	caller := dialSlowCaller(t, n, "/stream/200", "")
	ended := func() []observer.LoggedEntry { return logs.FilterMessage("attempt ended").All() }
	g.Eventually(ended, eventuallyTimeout).Should(HaveLen(1))
	g.Expect(ended()[0].ContextMap()).To(HaveKeyWithValue("result", "complete"))
	g.Expect(gapCount()).To(BeNumerically(">", gaps), "reads while the caller reads nothing")
	state := n.State()
	g.Expect(state.SlowCallers.Responses).To(Equal(1))
	g.Expect(state.SlowCallers.HeldBytes).To(BeNumerically("~", count<<10, 120<<10))
	g.Expect(state.BufferedBytes).To(Equal(state.SlowCallers.HeldBytes))
	g.Expect(caller.readAll()).To(Equal(largeEvents(1, count)))
	expectNothingHeld(t, n)
	caller.request("/stream/3", "")
	g.Expect(caller.readAll()).To(Equal(largeEvents(1, 3)))
	g.Expect(logs.FilterMessage("answer broken off").All()).To(BeEmpty())
}

// TestResponseOverItsBoundIsAborted guards against unlimited memory for one slow caller,
// and against an aborted response that looks complete, is retried or is blamed on its
// upstream.
func TestResponseOverItsBoundIsAborted(t *testing.T) {
	g := NewWithT(t)
	engine := startServer(t, "i-1", "engines", respondLargeEvents)
	n, logs := startSlowCallerGateway(t, nil, engine)
	aborts := slowCallerAborts("response")
	caller := dialSlowCaller(t, n, "/resumable/1000", "")
	g.Eventually(func() []map[string]any { return brokenOff(logs, "slow_caller") }, eventuallyTimeout).Should(HaveLen(1))
	line := brokenOff(logs, "slow_caller")[0]
	g.Expect(line).To(And(HaveKeyWithValue("request", "id-/resumable/1000"), HaveKeyWithValue("bound", "response"), HaveKeyWithValue("upstream", "i-1")))
	g.Expect(line["held_bytes"]).To(BeNumerically(">", heldResponseBytes))
	_, err := caller.readAll()
	g.Expect(err).To(HaveOccurred())
	expectNothingHeld(t, n)
	g.Expect(slowCallerAborts("response")).To(Equal(aborts + 1))
	g.Expect(engine.count()).To(Equal(1))
	g.Expect(logs.FilterMessage("upstream ejected").All()).To(BeEmpty())
}

// TestLargestResponseIsAbortedOverTheBudget guards against aborting the response of a
// caller that reads, or of one that holds less than another. The engine of the aborted
// response is silent at that time.
func TestLargestResponseIsAbortedOverTheBudget(t *testing.T) {
	g := NewWithT(t)
	n, logs := startSlowCallerGateway(t, func(o *gateway.Options) { o.SlowCallers.MaxTotalBytes = 400 << 10 },
		startServer(t, "i-1", "engines", holdLargeEvents), startServer(t, "p1", "plain", respondDone))
	held := func() gateway.SlowCallers { return n.State().SlowCallers }
	largest := dialSlowCaller(t, n, "/stream/250", "")
	// None of the other responses can hold as much, and without the largest one all fit.
	g.Eventually(func() int64 { return held().HeldBytes }, eventuallyTimeout).Should(BeNumerically(">", len(largeEvents(1, 93))))
	for _, path := range []string{"/stream/90", "/stream/91", "/stream/92", "/stream/93"} {
		dialSlowCaller(t, n, path, "")
	}
	g.Eventually(func() []map[string]any { return brokenOff(logs, "slow_caller") }, eventuallyTimeout).ShouldNot(BeEmpty())
	g.Consistently(func() []map[string]any { return brokenOff(logs, "slow_caller") }, "100ms").Should(HaveLen(1))
	line := brokenOff(logs, "slow_caller")[0]
	g.Expect(line).To(And(HaveKeyWithValue("request", "id-/stream/250"), HaveKeyWithValue("bound", "total")))
	_, err := largest.readAll()
	g.Expect(err).To(HaveOccurred())
	g.Expect(held().HeldBytes).To(BeNumerically("<=", 400<<10))
	_, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("done"))
}

// TestCrashedUpstreamIsReplacedWhileTheCallerIsSlow guards against a resumption that waits
// for the caller, continues after the last event written instead of the last one
// read, or overtakes the events that are held.
func TestCrashedUpstreamIsReplacedWhileTheCallerIsSlow(t *testing.T) {
	g := NewWithT(t)
	resumed := make(chan string, 1)
	handle := func(_ *server, c net.Conn, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			sendLargeEvents(c, r, 1, 120)
			chunk(c, "id: 121\nda")
			c.Close()
			return
		}
		resumed <- r.Header.Get("Last-Event-Id")
		sendLargeEvents(c, r, 121, 200)
		lastChunk(c)
	}
	n, _ := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", handle), startServer(t, "i-2", "engines", handle))
	caller := dialSlowCaller(t, n, "/resumable/", "")
	g.Eventually(resumed, eventuallyTimeout).Should(Receive(Equal("120")))
	g.Expect(caller.readAll()).To(Equal(largeEvents(1, 200)))
	expectNothingHeld(t, n)
}

// TestHeldEventsAreSentBeforeABreak guards against losing the events that were received
// before an upstream broke off, if the stream can't be resumed.
func TestHeldEventsAreSentBeforeABreak(t *testing.T) {
	g := NewWithT(t)
	broken := make(chan struct{})
	n, logs := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		sendLargeEvents(c, r, 1, 120)
		c.Close()
		close(broken)
	}))
	caller := dialSlowCaller(t, n, "/stream/", "")
	g.Eventually(broken, eventuallyTimeout).Should(BeClosed())
	body, err := caller.readAll()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(body).To(Equal(largeEvents(1, 120)))
	g.Eventually(func() []map[string]any { return brokenOff(logs, "upstream_failed") }, eventuallyTimeout).Should(HaveLen(1))
	expectNothingHeld(t, n)
}

// TestSlowCallerDisconnects guards against memory and engines that stay occupied for a
// caller that has gone, while its engine responds and after it has.
func TestSlowCallerDisconnects(t *testing.T) {
	for name, handle := range map[string]func(*server, net.Conn, *http.Request){"responding": holdLargeEvents, "complete": respondLargeEvents} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n, logs := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", handle))
			caller := dialSlowCaller(t, n, "/stream/150", "")
			g.Eventually(func() int64 { return n.State().SlowCallers.HeldBytes }, eventuallyTimeout).Should(BeNumerically(">", 30<<10))
			caller.Close()
			g.Eventually(func() []map[string]any { return brokenOff(logs, "caller_gone") }, eventuallyTimeout).Should(HaveLen(1))
			expectNothingHeld(t, n)
		})
	}
}

// TestSlowCallerIsAbortedAfterItsDeadline guards against responses that are held longer
// than their request may take, and that look complete when they end.
func TestSlowCallerIsAbortedAfterItsDeadline(t *testing.T) {
	codes := map[string]string{"complete": "slow_caller", "responding": "upstream_failed"}
	for name, handle := range map[string]func(*server, net.Conn, *http.Request){"responding": holdLargeEvents, "complete": respondLargeEvents} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n, logs := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", handle))
			began := time.Now()
			caller := dialSlowCaller(t, n, "/stream/150", "", "Time-Left: 500")
			g.Eventually(func() []map[string]any { return brokenOff(logs, codes[name]) }, eventuallyTimeout).Should(HaveLen(1))
			g.Expect(time.Since(began)).To(BeNumerically("~", 1500*time.Millisecond, 500*time.Millisecond))
			_, err := caller.readAll()
			g.Expect(err).To(HaveOccurred())
			expectNothingHeld(t, n)
		})
	}
}

// TestStopEndsSlowResponses guards against a shutdown that outlasts its grace period
// because a caller does not read.
func TestStopEndsSlowResponses(t *testing.T) {
	g := NewWithT(t)
	n, _ := startSlowCallerGateway(t, func(o *gateway.Options) { o.Grace = 800 * time.Millisecond }, startServer(t, "i-1", "engines", respondLargeEvents))
	caller := dialSlowCaller(t, n, "/stream/150", "")
	g.Eventually(func() int64 { return n.State().SlowCallers.HeldBytes }, eventuallyTimeout).Should(BeNumerically(">", 30<<10))
	n.stop()
	g.Eventually(n.done, "5s").Should(BeClosed())
	_, err := caller.readAll()
	g.Expect(err).To(HaveOccurred())
	expectNothingHeld(t, n)
}

// TestUnreadBodyIsNotBlamedOnItsUpstream guards against ejecting an upstream that cuts off
// a long response because the caller does not read it, and against sending the request
// again.
func TestUnreadBodyIsNotBlamedOnItsUpstream(t *testing.T) {
	g := NewWithT(t)
	const sendTimeout = 1500 * time.Millisecond
	plain := startServer(t, "p1", "plain", func(_ *server, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), 64<<20)
		_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
		_, _ = c.Write(make([]byte, 64<<20))
		c.Close()
	})
	n, logs := startSlowCallerGateway(t, nil, plain)
	caller := dialSlowCaller(t, n, "/safe/", "")
	time.Sleep(2 * sendTimeout) // The upstream's limit on an unread response passes.
	_, err := caller.readAll()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Eventually(func() []map[string]any { return brokenOff(logs, "slow_caller") }, eventuallyTimeout).Should(HaveLen(1))
	g.Expect(brokenOff(logs, "slow_caller")[0]).To(HaveKeyWithValue("bound", "unread"))
	g.Expect(plain.count()).To(Equal(1))
	g.Expect(logs.FilterMessage("upstream ejected").All()).To(BeEmpty())
}
