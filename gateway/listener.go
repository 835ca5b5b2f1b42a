package gateway

import (
	"net"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"
)

// callerListener bounds the open connections of callers, and leaves out those that
// their callers closed before they were accepted. They keep their sockets visible,
// unlike those of netutil.LimitListener: callerLeft looks at them.
type callerListener struct {
	net.Listener
	free chan struct{}
}

func limitCallers(ln net.Listener, most int) *callerListener {
	return &callerListener{Listener: ln, free: make(chan struct{}, most)}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	l.free <- struct{}{}
	c, err := l.acceptPresent()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &callerConn{Conn: c, release: func() { <-l.free }}, nil
}

// acceptPresent accepts the next connection whose caller has not closed it. One that
// was closed unread costs no more than that: a process that has fallen behind by its
// callers' patience would else serve nobody.
func (l *callerListener) acceptPresent() (net.Conn, error) {
	for {
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
	once    sync.Once
	release func()
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(c.release)
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
