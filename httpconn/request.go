package httpconn

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resetGrace is how long a reset may take to arrive after a server has ended what it sends: one
// that has closed the connection resets it when more of the request arrives.
const resetGrace = 200 * time.Millisecond

// requestState is the state of writing requests.
type requestState struct {
	mu sync.Mutex
	// pending is set from BeginRequest to EndRequest, and writing during a call of Write.
	pending, writing bool
	// err is the first error of a request or of Write.
	err error
	// changed is closed at the next change of the other fields; nil while nobody waits for it.
	changed chan struct{}
}

// update changes the state. The first error is kept.
func (s *requestState) update(err error, change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	if s.err == nil {
		s.err = err
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// look reports whether nothing is being written, and returns the first error. Otherwise it
// returns a channel that is closed at the next change.
func (s *requestState) look() (ended bool, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pending && !s.writing {
		return true, nil, s.err
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return false, s.changed, nil
}

// await waits until nothing is being written, and returns the first error. It returns false if
// expired fires before.
func (s *requestState) await(expired <-chan time.Time) (ended bool, err error) {
	for {
		ended, changed, err := s.look()
		if ended {
			return true, err
		}
		select {
		case <-changed:
		case <-expired:
			return false, nil
		}
	}
}

// BeginRequest states that a request is being written, until EndRequest.
func (c *Conn) BeginRequest() { c.request.update(nil, func() { c.request.pending = true }) }

// EndRequest states that the request has been written, or why not.
func (c *Conn) EndRequest(err error) { c.request.update(err, func() { c.request.pending = false }) }

// AwaitRequest waits until the request has ended, and returns its error.
func (c *Conn) AwaitRequest() error {
	_, err := c.request.await(nil)
	return err
}

// RequestWritten reports whether the request has been written as a whole.
func (c *Conn) RequestWritten() bool {
	ended, _, err := c.request.look()
	return ended && err == nil
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.request.update(nil, func() { c.request.writing = true })
	n, err := c.Conn.Write(p)
	c.request.update(err, func() { c.request.writing = false })
	return n, err
}

// checkEnd returns io.EOF if the end of the connection is the end of what the server sends. It
// returns the error of the request if that was not written as a whole. The kernel reports a reset
// once, to who reads or writes next: if that was the writer, the reader sees a regular end.
//
// A server may end what it sends and read the request later or never, so the end counts too if
// no reset follows.
func (c *Conn) checkEnd() error {
	grace := time.NewTimer(resetGrace)
	defer grace.Stop()
	ended, err := c.request.await(grace.C)
	if !ended && !isHalfOpen(c.Conn) {
		// The writer is about to see that the connection has ended.
		err = c.AwaitRequest()
	}
	if err != nil {
		return err
	}
	return io.EOF
}

// isHalfOpen reports whether the server has ended what it sends, and has not reset the
// connection since.
func isHalfOpen(c net.Conn) bool {
	if layered, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = layered.NetConn()
	}
	source, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	halfOpen := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		halfOpen = infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && halfOpen
}
