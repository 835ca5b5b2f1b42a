package gateway

import (
	"net"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/node"
)

// reopenListener is a listener that can reset all connections waiting to be accepted at
// once, at next to no cost. Under overload most callers in the queue have disconnected
// or are about to, and telling them apart would require accepting each connection; a
// reset informs all of them immediately.
type reopenListener struct {
	processors float64

	mu      sync.Mutex
	current net.Listener
	closed  bool
}

func newReopenListener(ln net.Listener, processors float64) (*reopenListener, error) {
	if err := limitBacklog(ln, processors); err != nil {
		return nil, err
	}
	return &reopenListener{current: ln, processors: processors}, nil
}

func (l *reopenListener) get() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Accept implements net.Listener.
func (l *reopenListener) Accept() (net.Conn, error) {
	for {
		ln := l.get()
		c, err := ln.Accept()
		if err == nil || l.get() == ln {
			return c, err
		}
	}
}

// resetPending closes the waiting connections by closing the socket, and listens again
// on the same address. Errors are ErrListen; the listener is closed then.
func (l *reopenListener) resetPending() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	address := l.current.Addr()
	if err := l.current.Close(); err != nil {
		return eris.Wrap(ErrListen, err.Error())
	}
	ln, err := node.Listen(address.String(), nil)
	if err != nil {
		l.closed = true
		return eris.Wrap(ErrListen, err.Error())
	}
	l.current = ln
	return limitBacklog(ln, l.processors)
}

// Close implements net.Listener.
func (l *reopenListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.current.Close()
}

// Addr implements net.Listener.
func (l *reopenListener) Addr() net.Addr { return l.get().Addr() }

// SyscallConn implements syscall.Conn.
func (l *reopenListener) SyscallConn() (syscall.RawConn, error) {
	source, ok := l.get().(syscall.Conn)
	if !ok {
		return nil, eris.New("gateway: listener without a socket")
	}
	return source.SyscallConn()
}
