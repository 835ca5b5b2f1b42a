package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// readBufferSize holds the head of most answers.
	readBufferSize = 4 << 10
	// keepAliveInterval finds connections whose peer is gone.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of probes without an answer.
	keepAliveCount = 2
	// keepAliveMargin is how much earlier than the upstream announces a kept
	// connection is given up.
	keepAliveMargin = time.Second
)

// conn is a connection to an upstream that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// prefetched is what was read of the connection and not by reader yet.
	prefetched []byte
	// reuseDeadline is when it must not be used again.
	reuseDeadline time.Time
	// bytesWritten counts the bytes of the present request.
	bytesWritten int64
}

// Write counts what was written.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += int64(n)
	return n, err
}

// dial opens a connection that notices a peer that is gone.
func dial(ctx context.Context, address string, timeout, userTimeout time.Duration) (*conn, error) {
	dialer := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, userTimeout) },
	}
	begun := time.Now()
	c, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
	case timeoutNoticedLate(time.Since(begun), timeout):
		return nil, eris.Wrap(ErrWithdrawn, err.Error())
	default:
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	return newConn(c), nil
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c}
	out.reader = bufio.NewReaderSize(out, readBufferSize)
	return out
}

// timeoutNoticedLate reports whether a timeout was noticed much after its time: the process was
// paused or short of processor time, and the connection may have been there.
func timeoutNoticedLate(took, timeout time.Duration) bool { return took > timeout+timeout/4 }

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// hasUnreadBytes reports whether there are bytes behind the last answer.
func (c *conn) hasUnreadBytes() bool { return c.reader.Buffered() > 0 || len(c.prefetched) > 0 }

// isIdle reports whether the upstream has neither closed an idle connection nor
// sent bytes that nobody asked for.
func (c *conn) isIdle() bool {
	if c.hasUnreadBytes() {
		return false
	}
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// responseReuseDeadline returns until when an answer lets its connection be used again; zero
// if it must be closed.
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
