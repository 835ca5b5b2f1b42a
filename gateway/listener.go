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
	// enteringPerProcessor is the number of new connections for each processor
	// whose first request is being read and decided on.
	enteringPerProcessor = 8
	// acceptPause follows each batch of new connections that are taken up. The runtime looks for what
	// arrived on other connections only when nothing else is to run.
	acceptPause = time.Millisecond
	// backlogPerProcessor is the number of connections that may wait to be accepted,
	// for each core: what it decides on in half a second, at a millisecond each.
	backlogPerProcessor = 500
	// minBacklog is the least number that may wait.
	minBacklog = 64
	// entryTimeout is how long a connection without a request counts as one.
	entryTimeout = 100 * time.Millisecond
)

// callerListener bounds the open connections of callers, and those whose first
// request is being decided on. It answers callers that come faster than this process
// can decide: what runs already gets the processor between the new ones, which wait
// in the socket, where one whose caller gives up costs next to nothing. Connections
// keep their sockets visible, unlike those of netutil.LimitListener: callerLeft looks
// at them.
type callerListener struct {
	net.Listener
	free     chan struct{}
	entering chan struct{}
	timeout  time.Duration
	// taken counts the connections that were accepted with their callers present.
	taken atomic.Int64
	// observe is told whether connections wait to be accepted.
	observe func(waiting bool)

	mu sync.Mutex
	// open is the connections that are not closed.
	open map[*callerConn]bool
}

func limitCallers(ln net.Listener, most int, observe func(waiting bool)) *callerListener {
	return &callerListener{
		Listener: ln, observe: observe, open: make(map[*callerConn]bool), free: make(chan struct{}, most), timeout: entryTimeout,
		entering: make(chan struct{}, enteringPerProcessor*runtime.GOMAXPROCS(0)),
	}
}

// shortenBacklog bounds the connections that wait to be accepted by what this process
// takes in before their callers give up. With a longer queue, first in, first out, all
// that are accepted under overload have been waiting for too long.
func shortenBacklog(ln net.Listener, processors float64) error {
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
	l.free <- struct{}{}
	l.entering <- struct{}{}
	c, err := l.acceptPresent()
	if err != nil {
		<-l.entering
		<-l.free
		return nil, err
	}
	conn := &callerConn{Conn: c, enter: func() { <-l.entering }}
	conn.release = func() { l.closed(conn) }
	conn.idle = time.AfterFunc(l.timeout, conn.entered)
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	return conn, nil
}

func (l *callerListener) closed(conn *callerConn) {
	l.mu.Lock()
	delete(l.open, conn)
	l.mu.Unlock()
	<-l.free
}

// unread returns the number of open connections on which something has arrived that
// this process has not read.
func (l *callerListener) unread() int {
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

// acceptPresent accepts the next connection whose caller has not closed it. One that
// was closed unread costs no more than that, and no pause: under overload most of those
// that wait are such.
func (l *callerListener) acceptPresent() (net.Conn, error) {
	if l.taken.Add(1)%int64(cap(l.entering)) == 0 {
		node.Pause(context.Background(), acceptPause)
	}
	for {
		l.observe(connectionsWait(l.Listener))
		c, err := l.Listener.Accept()
		if err != nil || !closedByPeer(c) {
			return c, err
		}
		leftUnread.Add(1)
		_ = c.Close() // The other side is gone; an error here must not end the listener.
	}
}

// callerConn is a connection that counts until it is closed.
type callerConn struct {
	net.Conn
	closed  sync.Once
	release func()
	// enter is called once, when the first request has been decided on.
	begun sync.Once
	enter func()
	idle  *time.Timer
}

// entered notes that the connection's first request was decided on, or that there
// is none.
func (c *callerConn) entered() { c.begun.Do(c.enter) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.idle.Stop()
	c.entered()
	c.closed.Do(c.release)
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

// decided notes that the request on a caller's connection was decided on.
func decided(ctx context.Context) {
	if c, ok := ctx.Value(callerConnKey{}).(*callerConn); ok {
		c.entered()
	}
}
