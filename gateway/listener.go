package gateway

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"fulmarspindle.example/fulmarspindle/node"
)

const (
	// undecidedPerProcessor is the number of new connections per processor whose first
	// request may be read and decided on at the same time.
	undecidedPerProcessor = 8
	// acceptBatchPause is the pause after each batch of accepted connections. The Go
	// runtime polls the network for data on other connections only when no goroutine is
	// runnable.
	acceptBatchPause = time.Millisecond
	// backlogPerProcessor is the accept backlog per processor: the number of
	// connections that a processor decides on in half a second at 1 ms each.
	backlogPerProcessor = 500
	// minBacklog is the smallest accept backlog.
	minBacklog = 64
	// firstRequestTimeout is how long a connection without a request occupies a slot of
	// those being decided on.
	firstRequestTimeout = 100 * time.Millisecond
)

// callerListener limits the open connections of callers and those whose first request
// has not been decided on. Under overload this leaves CPU time to running requests; new
// connections wait in the accept queue, where one whose caller gives up costs next to
// nothing. Unlike those of netutil.LimitListener, its connections expose their sockets,
// which callerDisconnected inspects.
type callerListener struct {
	net.Listener
	connectionSlots     chan struct{}
	undecidedSlots      chan struct{}
	firstRequestTimeout time.Duration
	// accepted counts the connections whose callers had not closed them when they were
	// accepted.
	accepted atomic.Int64
	// observe is called before each accept with whether connections are waiting to be
	// accepted.
	observe func(waiting bool)

	mu sync.Mutex
	// open holds the connections that are not closed.
	open map[*callerConn]bool
}

func newCallerListener(ln net.Listener, maxConnections int, observe func(waiting bool)) *callerListener {
	return &callerListener{
		Listener: ln, observe: observe, open: make(map[*callerConn]bool), connectionSlots: make(chan struct{}, maxConnections), firstRequestTimeout: firstRequestTimeout,
		undecidedSlots: make(chan struct{}, undecidedPerProcessor*runtime.GOMAXPROCS(0)),
	}
}

// limitBacklog limits the accept queue to what this process takes in before callers
// give up. The queue is first in, first out: with a longer one, every connection
// accepted under overload has already waited too long.
func limitBacklog(ln net.Listener, processors float64) error {
	source, ok := ln.(syscall.Conn)
	if !ok || processors <= 0 {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	backlog := max(int(backlogPerProcessor*processors), minBacklog)
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), backlog) })
	if err := errors.Join(err, failed); err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	return nil
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	l.connectionSlots <- struct{}{}
	l.undecidedSlots <- struct{}{}
	c, err := l.acceptOpen()
	if err != nil {
		<-l.undecidedSlots
		<-l.connectionSlots
		return nil, err
	}
	conn := &callerConn{Conn: c, releaseUndecided: func() { <-l.undecidedSlots }}
	conn.release = func() { l.release(conn) }
	conn.firstRequestTimer = time.AfterFunc(l.firstRequestTimeout, conn.markDecided)
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn, nil
}

func (l *callerListener) release(conn *callerConn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	<-l.connectionSlots
}

// unreadCount returns the number of open connections with unread data.
func (l *callerListener) unreadCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for conn := range l.open {
		if hasUnread(conn) {
			count++
		}
	}
	return count
}

// acceptOpen accepts the next connection that its caller has not closed. Under overload
// most waiting connections are closed; they cost only the accept and no pause.
func (l *callerListener) acceptOpen() (net.Conn, error) {
	if l.accepted.Add(1)%int64(cap(l.undecidedSlots)) == 0 {
		node.Pause(context.Background(), acceptBatchPause)
	}
	for {
		l.observe(hasPendingConnections(l.Listener))
		c, err := l.Listener.Accept()
		if err != nil || !closedByCaller(c) {
			return c, err
		}
		closedUnread.Add(1)
		_ = c.Close() // The caller has disconnected; an error must not stop the listener.
	}
}

// callerConn is a connection that occupies a slot of its listener until it is closed.
type callerConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
	// releaseUndecided is called once, when the first request has been decided on.
	decidedOnce      sync.Once
	releaseUndecided func()
	// firstRequestTimer calls markDecided after firstRequestTimeout.
	firstRequestTimer *time.Timer
	// queue is set while writes do not wait for the caller. Only the goroutine that
	// serves the connection uses it.
	queue *sendQueue
}

// enableQueue makes writes queue what the socket does not accept. It returns false if the
// connection has no socket.
func (c *callerConn) enableQueue(shared *slowCallers) bool {
	q := newSendQueue(shared, c.Conn)
	if q == nil {
		return false
	}
	c.queue = q
	return true
}

// Write implements net.Conn. While the queue is enabled, it does not wait for the caller.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.queue != nil {
		return c.queue.write(p)
	}
	return c.Conn.Write(p)
}

// markDecided records that the connection's first request was decided on, or that it
// sent none in time.
func (c *callerConn) markDecided() { c.decidedOnce.Do(c.releaseUndecided) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.firstRequestTimer.Stop()
	c.markDecided()
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, eris.New("gateway: connection without a socket")
	}
	return source.SyscallConn()
}

// markRequestDecided records that the request with this context was decided on.
func markRequestDecided(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.markDecided()
	}
}
