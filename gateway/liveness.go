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

// withCallerConn remembers the connection that a request came on.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerLeft reports whether the caller has closed its connection. A request may
// have waited in the socket for longer than its caller did; the end of the
// connection is found there before the server's reader comes to it.
func callerLeft(ctx context.Context) bool {
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
	left := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		ended := peekErr == nil && n == 0
		failed := peekErr != nil && !errors.Is(peekErr, unix.EAGAIN) && !errors.Is(peekErr, unix.EINTR)
		left = ended || failed
	})
	return left || err != nil
}

// closedByPeer reports whether the other side has closed a connection, also behind
// bytes that have not been read.
func closedByPeer(c net.Conn) bool {
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(fds, 0)
		closed = pollErr == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err == nil && closed
}

// hasUnread reports whether bytes wait in a connection's socket.
func hasUnread(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = peekErr == nil && n > 0
	})
	return err == nil && waiting
}

// connectionsWait reports whether connections wait to be accepted.
func connectionsWait(ln net.Listener) bool {
	source, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, pollErr := unix.Poll(fds, 0)
		waiting = pollErr == nil && n > 0
	})
	return err == nil && waiting
}

// unread returns how long the last bytes of a caller have waited in the socket, zero
// if that is not known.
func unread(ctx context.Context) time.Duration {
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
