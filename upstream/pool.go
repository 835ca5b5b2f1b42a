package upstream

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// PoolOptions configures a Pool.
type PoolOptions struct {
	DialTimeout time.Duration
	// UserTimeout is the TCP user timeout: it bounds how long sent bytes may stay
	// unacknowledged.
	UserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the upstream announces
	// no timeout of its own.
	IdleTimeout time.Duration
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// TLS, if set, is the configuration of TLS connections.
	TLS *tls.Config
}

// Pool holds the connections of this process to one upstream. It never retries:
// whether a request is sent again is its caller's decision.
type Pool struct {
	address string

	mu      sync.Mutex
	options PoolOptions
	idle    []*conn
	open    int
	closed  bool
}

// NewPool returns a pool without open connections.
func NewPool(address string, options PoolOptions) *Pool {
	return &Pool{address: address, options: options}
}

// Close closes the idle connections, and those in use once their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.open -= len(idle)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// get returns a kept connection or dials a new one, and reports whether it is new. Whether
// anything has arrived on it is for its caller to check. Its errors are ErrNotSent and
// ErrWithdrawn.
func (p *Pool) get(ctx context.Context) (c *conn, isNew bool, err error) {
	for {
		c := p.takeIdle()
		if c == nil {
			break
		}
		if time.Now().Before(c.reuseDeadline) {
			return c, false, nil
		}
		p.discard(c)
	}
	if !p.reserve() {
		return nil, false, eris.Wrap(ErrNotSent, "connection limit reached")
	}
	c, err = dial(ctx, p.address, p.options)
	if err != nil {
		p.release()
		return nil, false, err
	}
	connectionsOpened.Add(1)
	return c, true, nil
}

// Check returns nil if an idle connection to the upstream is still open or the
// upstream accepts a new one, which is kept in the pool. Its errors are ErrNotSent
// and ErrWithdrawn.
func (p *Pool) Check(ctx context.Context) error {
	for {
		c, isNew, err := p.get(ctx)
		if err != nil {
			return err
		}
		if isNew || c.isIdle() {
			p.putUnused(c)
			return nil
		}
		p.discardUnsolicited(c)
	}
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *Pool) putUnused(c *conn) {
	if c.reuseDeadline.IsZero() {
		c.reuseDeadline = time.Now().Add(p.options.IdleTimeout)
	}
	p.put(c)
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *Pool) takeIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.options.MaxConnections > 0 && p.open >= p.options.MaxConnections {
		return false
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) discard(c *conn) {
	c.Close()
	p.release()
}

// discardUnsolicited closes a connection that is not idle. It counts one on which bytes
// arrived without a request; others were closed by the upstream.
func (p *Pool) discardUnsolicited(c *conn) {
	if c.hasPendingBytes() {
		countClosed(closedUnsolicited)
	}
	p.discard(c)
}

// put returns a connection to the pool for the next request, or closes it if the
// pool is closed.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}
