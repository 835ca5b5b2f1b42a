package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"fulmarspindle.example/fulmarspindle/httpconn"
)

const (
	// keepAliveInterval is the interval of the TCP keepalive probes that detect an
	// unreachable peer.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unacknowledged probes that close a
	// connection.
	keepAliveCount = 2
	// keepAliveMargin is subtracted from the Keep-Alive timeout that an upstream
	// announces, so that a connection is closed here first.
	keepAliveMargin = time.Second
)

// conn is an HTTP/1.1 connection to an upstream. It carries one request at a time.
type conn struct {
	*httpconn.Conn
	// reuseDeadline is the time from which the connection must not be reused.
	reuseDeadline time.Time
	// bytesWritten counts the bytes written of the current request.
	bytesWritten int64
	// closeCause is why the connection is closed after the current request; empty if it
	// may be kept.
	closeCause closeCause
	// requests is the number of requests that were sent before the current one.
	requests int
}

// Write implements io.Writer and counts the written bytes.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// dial opens a connection with TCP keepalive and a TCP user timeout, which detect an
// unreachable peer. A dial timeout that fired late is ErrWithdrawn; other failures
// are ErrNotSent.
func dial(ctx context.Context, address string, options PoolOptions) (*conn, error) {
	dialer := net.Dialer{
		Timeout: options.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, options.UserTimeout) },
	}
	started := time.Now()
	c, err := dialTo(ctx, &dialer, address, options.TLS)
	switch {
	case err == nil:
	case timeoutNoticedLate(time.Since(started), options.DialTimeout):
		return nil, eris.Wrap(ErrWithdrawn, err.Error())
	default:
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return newConn(c), nil
}

// dialTo opens a TCP connection, or a TLS connection if config is set.
func dialTo(ctx context.Context, dialer *net.Dialer, address string, config *tls.Config) (net.Conn, error) {
	if config == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	return (&tls.Dialer{NetDialer: dialer, Config: config}).DialContext(ctx, "tcp", address)
}

func newConn(c net.Conn) *conn { return &conn{Conn: httpconn.New(c)} }

// timeoutNoticedLate reports whether a dial overran its timeout, if it has one, by more than a
// quarter. The process was then paused or short of CPU time, and the connection may
// have been accepted in time: the failure says nothing about the upstream.
func timeoutNoticedLate(took, timeout time.Duration) bool {
	return timeout > 0 && took > timeout+timeout/4
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// isIdle reports whether the upstream has neither closed the connection nor sent
// unsolicited bytes on it.
func (c *conn) isIdle() bool { return !c.HasUnreadBytes() && c.peekSocket() == socketEmpty }

// hasPendingBytes reports whether bytes have arrived that are not part of a response that
// was read.
func (c *conn) hasPendingBytes() bool { return c.HasUnreadBytes() || c.peekSocket() == socketReadable }

// socketState says what the next read of a socket would return.
type socketState int

const (
	// socketEmpty means that a read would wait.
	socketEmpty socketState = iota
	// socketReadable means that a read would return bytes.
	socketReadable
	// socketEnded means that a read would return the end of the connection or an error.
	socketEnded
)

// peekSocket returns the state of the socket. A connection without a socket counts as
// empty.
func (c *conn) peekSocket() socketState {
	source, ok := c.Conn.Conn.(syscall.Conn)
	if !ok {
		return socketEmpty
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return socketEnded
	}
	state := socketEnded
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(peekErr, unix.EAGAIN):
			state = socketEmpty
		case peekErr == nil && n > 0:
			state = socketReadable
		}
		return true
	})
	if err != nil {
		return socketEnded
	}
	return state
}

// responseReuseDeadline returns the time until which a response allows its
// connection to be reused, or zero if the connection must be closed.
func responseReuseDeadline(now time.Time, resp *http.Response, idle time.Duration) time.Time {
	if resp.Close {
		return time.Time{}
	}
	for field := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return time.Time{}
		}
		return now.Add(time.Duration(seconds)*time.Second - keepAliveMargin)
	}
	return now.Add(idle)
}
