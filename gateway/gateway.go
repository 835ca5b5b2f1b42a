// Package gateway is the driver of the path from callers straight to upstreams:
// it binds the decisions of route, registry, admission and retry to sockets, the
// clock and the store.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// ErrListen reports an address that can't be listened on, or a listener that
// failed.
var ErrListen = eris.New("gateway: listen failed")

// Gateway serves callers.
type Gateway struct {
	options Options
	log     *zap.Logger

	table    atomic.Pointer[route.Table]
	policy   atomic.Pointer[Policy]
	draining atomic.Bool
	// shutdownAt is when the process ends, once it is draining.
	shutdownAt atomic.Pointer[time.Time]
	// servingDuringShutdown is set while this process stops and serves on for want of others.
	// inFlight is the number of requests that came before.
	servingDuringShutdown atomic.Bool
	inFlight              atomic.Int64
	bufferedBytes         atomic.Int64

	// mu guards the registry and the set of services and pools.
	mu       sync.Mutex
	registry *registry.Registry
	services map[fleet.ServiceID]*service
	pools    map[poolKey]*upstream.Pool
	// adoptedAt is when the configuration was adopted, registeredAt when the
	// registrations were last heard of.
	adoptedAt    time.Time
	registeredAt time.Time

	// checks holds the upstreams that are being checked.
	checks sync.Map

	retryDetector *retryDetector
	readiness     *readiness
	storeContact  storeContact
	peers         *peers
	cacheLists    *cacheLists
	suspects      *suspects
	// loadChanged is set when the load loadChanged since the last report.
	loadChanged atomic.Bool
	// reportNow has an element when the next report should not wait for its time.
	reportNow chan struct{}
	// background ends with the process.
	background context.Context
}

// poolKey tells the incarnations of an upstream apart.
type poolKey struct {
	id      fleet.UpstreamID
	address string
	started int64
}

// New returns a gateway that knows neither a configuration nor upstreams. Its
// background work ends with ctx.
func New(ctx context.Context, options Options) *Gateway {
	g := &Gateway{
		options:       options,
		log:           options.Log,
		registry:      registry.New(options.Registry),
		services:      make(map[fleet.ServiceID]*service),
		pools:         make(map[poolKey]*upstream.Pool),
		retryDetector: newRetryDetector(),
		reportNow:     make(chan struct{}, 1),
		background:    ctx,
	}
	g.policy.Store(&options.Policy)
	g.readiness = newReadiness(g)
	g.peers = newPeers(g)
	g.cacheLists = newCacheLists(g)
	g.suspects = newSuspects(g.peers.sessions, g.log)
	return g
}

// SetPolicy puts a policy in force.
func (g *Gateway) SetPolicy(policy Policy) {
	g.mu.Lock()
	g.policy.Store(&policy)
	for _, s := range g.services {
		s.setPolicy(&policy)
	}
	g.mu.Unlock()
	g.peers.setMemberTTL(policy.MemberTTL)
	g.peers.addAddresses(g.background, nil)
}

// Ready reports whether this process wants callers' connections.
func (g *Gateway) Ready() bool {
	if g.draining.Load() || g.readiness.unready.Load() || g.table.Load() == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Revision() > 0
}

// closesConnections reports whether callers' connections are to be closed behind their answers:
// those that come again reach another process.
func (g *Gateway) closesConnections() bool { return g.draining.Load() || g.readiness.unready.Load() }

// service returns the driver of a service's decisions.
func (g *Gateway) service(id fleet.ServiceID) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[id]
}

// pool returns the connections to an upstream.
func (g *Gateway) pool(u registry.Upstream) *upstream.Pool {
	key := keyOf(u)
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pools[key]
	if pool == nil {
		pool = upstream.NewPool(u.Address, g.options.Pool)
		g.pools[key] = pool
	}
	return pool
}

func keyOf(u registry.Upstream) poolKey {
	return poolKey{id: u.ID, address: u.Address, started: u.StartedUnixMs}
}

// start runs the background work.
func (g *Gateway) start(peerListener net.Listener) {
	go g.followRouting(g.background)
	go g.followUpstreams(g.background)
	go g.peers.followMembers(g.background)
	go g.peers.sendReports(g.background)
	go func() {
		if err := g.peers.network.Serve(g.background, peerListener); err != nil {
			g.log.Error("peer listener failed", zap.Error(err))
		}
	}()
}
