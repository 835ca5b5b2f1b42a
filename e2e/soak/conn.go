package soak

import (
	"context"
	"net"
	"sync/atomic"
)

// upstreamListener accepts connections as upstreamConn.
type upstreamListener struct{ net.Listener }

// Accept implements net.Listener.
func (l upstreamListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &upstreamConn{Conn: c}, nil
}

// upstreamConn is a connection that an upstream accepted.
type upstreamConn struct {
	net.Conn
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
