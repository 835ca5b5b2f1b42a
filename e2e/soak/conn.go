package soak

import (
	"context"
	"net"
	"sync/atomic"
)

// upstreamListener accepts connections as upstreamConn.
type upstreamListener struct {
	net.Listener
	server *server
}

// Accept implements net.Listener.
func (l upstreamListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: c, server: l.server}, nil
}

// upstreamConn is a connection that an upstream accepted.
type upstreamConn struct {
	net.Conn
	server *server
	// repeater repeats refusals while the server is faulty.
	repeater refusalRepeater
	// unfinished is set while a response without a length is incomplete.
	unfinished atomic.Bool
}

// Close closes the connection. It resets it while a response is incomplete whose end is that
// of the connection: the response would look complete otherwise.
func (c *upstreamConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unfinished.Load() {
		_ = tcp.SetLinger(0)
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *upstreamConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.repeat(true)
	}
	return n, err
}

// Write implements net.Conn. Refusals are short enough to be written at once.
func (c *upstreamConn) Write(p []byte) (int, error) {
	c.repeat(false)
	if c.server.refusedPermille.Load() > 0 && isRefusal(p) {
		c.repeater.remember(p)
	}
	return c.Conn.Write(p)
}

// repeat writes the refusal that is due when a request has arrived or is answered, if any.
func (c *upstreamConn) repeat(arrived bool) {
	if refusal := c.repeater.due(arrived); refusal != nil {
		_, _ = c.Conn.Write(refusal)
	}
}

type connKey struct{}

// withConn is the ConnContext of an upstream's HTTP server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request, given its context.
func connOf(ctx context.Context) *upstreamConn {
	c, _ := ctx.Value(connKey{}).(*upstreamConn)
	return c
}
