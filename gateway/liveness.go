package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConnKey is the context key of a caller's connection.
type callerConnKey struct{}

// withCallerConn stores the connection that a request arrived on in the context.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerDisconnected reports whether the caller has closed its connection. The
// caller may have given up while its request waited in the socket buffer; peeking at
// the socket detects the end of the connection before the server's background read does.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	source, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended := peekErr == nil && n == 0
		failed := peekErr != nil && !errors.Is(peekErr, unix.EAGAIN) && !errors.Is(peekErr, unix.EINTR)
		disconnected = ended || failed
	})
	return disconnected || err != nil
}

// withSocket calls f with the file descriptor of a connection or listener. It
// returns false if the socket is closed.
func withSocket(c any, f func(fd int)) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}

// pollEvents polls a socket without waiting and returns the ready events.
func pollEvents(fd int, events int16) int16 {
	fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
	n, err := unix.Poll(fds, 0)
	if err != nil || n <= 0 {
		return 0
	}
	return fds[0].Revents
}

// closedByCaller reports whether the caller has closed a connection, even if there is
// unread data before the end.
func closedByCaller(c net.Conn) bool {
	closed := false
	open := withSocket(c, func(fd int) {
		closed = pollEvents(fd, unix.POLLRDHUP)&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return open && closed
}

// hasUnread reports whether a connection has unread data.
func hasUnread(c net.Conn) bool {
	waiting := false
	open := withSocket(c, func(fd int) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return open && waiting
}

// hasPendingConnections reports whether connections are waiting to be accepted.
func hasPendingConnections(ln net.Listener) bool {
	waiting := false
	open := withSocket(ln, func(fd int) { waiting = pollEvents(fd, unix.POLLIN) != 0 })
	return open && waiting
}

// timeSinceLastReceive returns the time since data last arrived from a caller, zero if
// unknown.
func timeSinceLastReceive(ctx context.Context) time.Duration {
	source, ok := ctx.Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return 0
	}
	var waited time.Duration
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if infoErr == nil {
			waited = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return waited
}
