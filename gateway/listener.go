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
	// undecidedPerProcessor is the number of new connections for each processor
	// whose first request is being read and decided on.
	undecidedPerProcessor = 8
	// acceptBatchPause follows each batch of new connections that are taken up. The runtime looks for what
	// arrived on other connections only when nothing else is to run.
	acceptBatchPause = time.Millisecond
	// backlogPerProcessor is the number of connections that may wait to be accepted,
	// for each core: what it decides on in half a second, at a millisecond each.
	backlogPerProcessor = 500
	// minBacklog is the least number that may wait.
	minBacklog = 64
	// firstRequestTimeout is how long a connection without a request counts as one.
	firstRequestTimeout = 100 * time.Millisecond
)

// callerListener bounds the open connections of callers, and those whose first
// request is being decided on. It answers callers that come faster than this process
// can decide: what runs already gets the processor between the new ones, which wait
// in the socket, where one whose caller gives up costs next to nothing. Connections
// keep their sockets visible, unlike those of netutil.LimitListener: callerLeft looks
// at them.
type callerListener struct {
	net.Listener
	connectionSlots     chan struct{}
	undecidedSlots      chan struct{}
	firstRequestTimeout time.Duration
	// accepted counts the connections that were accepted with their callers present.
	accepted atomic.Int64
	// observe is told whether connections wait to be accepted.
	observe func(waiting bool)

	mu sync.Mutex
	// open is the connections that are not closed.
	open map[*callerConn]bool
}

func newCallerListener(ln net.Listener, most int, observe func(waiting bool)) *callerListener {
	return &callerListener{
		Listener: ln, observe: observe, open: make(map[*callerConn]bool), connectionSlots: make(chan struct{}, most), firstRequestTimeout: firstRequestTimeout,
		undecidedSlots: make(chan struct{}, undecidedPerProcessor*runtime.GOMAXPROCS(0)),
	}
}

// limitBacklog bounds the connections that wait to be accepted by what this process
// takes in before their callers give up. With a longer queue, first in, first out, all
// that are accepted under overload have been waiting for too long.
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
	conn.idle = time.AfterFunc(l.firstRequestTimeout, conn.markDecided)
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

// unreadCount returns the number of open connections on which something has arrived that
// this process has not read.
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

// acceptOpen accepts the next connection whose caller has not closed it. One that
// was closed unread costs no more than that, and no pause: under overload most of those
// that wait are such.
func (l *callerListener) acceptOpen() (net.Conn, error) {
	if l.accepted.Add(1)%int64(cap(l.undecidedSlots)) == 0 {
		node.Pause(context.Background(), acceptBatchPause)
	}
	for {
		l.observe(hasPendingConnections(l.Listener))
		c, err := l.Listener.Accept()
		if err != nil || !closedByPeer(c) {
			return c, err
		}
		closedUnread.Add(1)
		_ = c.Close() // The other side is gone; an error here must not end the listener.
	}
}

// callerConn is a connection that counts until it is closed.
type callerConn struct {
	net.Conn
	closeOnce sync.Once
	release   func()
	// enter is called once, when the first request has been decided on.
	decidedOnce      sync.Once
	releaseUndecided func()
	idle             *time.Timer
}

// markDecided notes that the connection's first request was decided on, or that there
// is none.
func (c *callerConn) markDecided() { c.decidedOnce.Do(c.releaseUndecided) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.idle.Stop()
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

// markRequestDecided notes that the request on a caller's connection was markRequestDecided on.
func markRequestDecided(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.markDecided()
	}
}
