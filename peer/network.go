// Package peer carries control messages and request streams between routers
// and sidecars over yamux sessions.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Connection timing and limits.
const (
	minReconnect = 100 * time.Millisecond
	maxReconnect = 2 * time.Second
	dialTimeout  = 3 * time.Second
	// maxPendingHandshakes limits the accepted connections whose handshake has not
	// completed. Connections beyond it are closed.
	maxPendingHandshakes = 256
)

// Target is a peer that this process dials.
type Target struct {
	// ID is the expected identifier of the peer. It is empty for a seed address, which
	// accepts any peer.
	ID      fleet.NodeID
	Address string
}

// Network accepts and dials the peer sessions of one process.
type Network struct {
	local   *Local
	handler Handler
	log     *zap.Logger
	// serverTLS and clientTLS apply to accepted and dialed connections; nil means plain
	// TCP.
	serverTLS *tls.Config
	clientTLS *tls.Config

	mu      sync.Mutex
	targets map[Target]context.CancelFunc
	wg      sync.WaitGroup
}

// NewNetwork returns a Network. A nil TLS configuration means plain TCP for accepted
// (server) or dialed (client) connections.
func NewNetwork(local *Local, handler Handler, log *zap.Logger, server, client *tls.Config) *Network {
	return &Network{
		local:     local,
		handler:   handler,
		log:       log,
		serverTLS: server,
		clientTLS: client,
		targets:   make(map[Target]context.CancelFunc),
	}
}

// Serve accepts sessions on ln until ctx is done or the listener fails. It returns after
// all sessions and dial loops have ended, and nil if ctx is done.
func (n *Network) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	pending := make(chan struct{}, maxPendingHandshakes)
	for {
		conn, err := ln.Accept()
		if err != nil {
			n.wg.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return eris.Wrap(ErrClosed, err.Error())
		}
		select {
		case pending <- struct{}{}:
			n.wg.Go(func() { n.serveConn(ctx, conn, pending) })
		default:
			conn.Close()
		}
	}
}

func (n *Network) serveConn(ctx context.Context, conn net.Conn, pending <-chan struct{}) {
	defer conn.Close()
	if n.serverTLS != nil {
		conn = tls.Server(conn, n.serverTLS)
	}
	s, err := acceptHandshake(conn, n.local)
	<-pending
	if err != nil {
		n.log.Warn("refused a peer", zap.Stringer("address", conn.RemoteAddr()), zap.Error(err))
		return
	}
	s.log = n.log
	cause := s.run(ctx, n.handler)
	n.logClosed(s, cause)
}

// SetTargets replaces the set of peers that this process dials, and closes the dialed
// sessions to targets that are no longer in the set.
func (n *Network) SetTargets(ctx context.Context, targets []Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	keep := make(map[Target]bool, len(targets))
	for _, t := range targets {
		keep[t] = true
		if _, ok := n.targets[t]; ok {
			continue
		}
		dialCtx, cancel := context.WithCancel(ctx)
		n.targets[t] = cancel
		n.wg.Go(func() { n.dialLoop(dialCtx, t) })
	}
	for t, cancel := range n.targets {
		if !keep[t] {
			cancel()
			delete(n.targets, t)
		}
	}
}

// Wait blocks until every dial loop and accepted session has ended.
func (n *Network) Wait() { n.wg.Wait() }

// dialLoop keeps a session to t, and redials with exponential backoff until ctx is done.
// The backoff is reset after an attempt that lasted longer than heartbeatTimeout.
func (n *Network) dialLoop(ctx context.Context, t Target) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minReconnect
	retry.MaxInterval = maxReconnect
	for ctx.Err() == nil {
		started := time.Now()
		if err := n.dialOnce(ctx, t); err != nil && ctx.Err() == nil {
			n.log.Debug("session to peer failed", zap.String("address", t.Address), zap.String("peer", string(t.ID)), zap.Error(err))
		}
		if time.Since(started) > heartbeatTimeout {
			retry.Reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

// dialOnce dials t and serves the session until it ends.
func (n *Network) dialOnce(ctx context.Context, t Target) error {
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: n.local.Source}
	conn, err := dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return eris.Wrap(ErrClosed, err.Error())
	}
	defer conn.Close()
	if n.clientTLS != nil {
		conn = tls.Client(conn, withServerName(n.clientTLS, t.Address))
	}
	s, err := dialHandshake(conn, n.local, t.ID)
	if err != nil {
		n.log.Warn("handshake failed", zap.String("address", t.Address), zap.Error(err))
		return err
	}
	s.log = n.log
	cause := s.run(ctx, n.handler)
	n.logClosed(s, cause)
	return cause
}

// withServerName returns a copy of cfg that verifies the peer's certificate against the
// host of a host:port address.
func withServerName(cfg *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	cfg = cfg.Clone()
	cfg.ServerName = host
	return cfg
}

func (n *Network) logClosed(s *Session, cause error) {
	n.log.Info("session closed", zap.String("peer", string(s.ID())), zap.Error(cause))
}
