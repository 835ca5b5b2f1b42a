// Package gateway proxies callers' requests to upstreams. It connects the decisions of
// packages route, registry, admission and retry to sockets, the clock and the
// configuration store.
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
	"fulmarspindle.example/fulmarspindle/httpconn"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/shutdown"
	"fulmarspindle.example/fulmarspindle/upstream"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// ErrListen reports that an address could not be listened on or that a listener failed.
var ErrListen = eris.New("gateway: listen failed")

// Gateway is a reverse proxy with admission control: it routes callers' requests to
// upstreams.
type Gateway struct {
	options Options
	log     *zap.Logger

	table    atomic.Pointer[route.Table]
	policy   atomic.Pointer[Policy]
	draining atomic.Bool
	// shutdown is the plan of the graceful shutdown; nil until draining starts.
	shutdown atomic.Pointer[shutdown.Plan]
	// requestsEnd is canceled by endRequests when the requests in flight must be answered.
	requestsEnd context.Context
	endRequests context.CancelFunc
	// servingDuringShutdown is set while this process is shutting down but keeps
	// serving new requests because no other router can. inFlight counts the requests
	// that arrived before that.
	servingDuringShutdown atomic.Bool
	inFlight              atomic.Int64
	bufferedBytes         atomic.Int64
	// bodies reads the responses that are buffered.
	bodies      *httpconn.BodyReader
	slowCallers *slowCallers

	// mu guards the registry, services, pools and fleet.
	mu       sync.Mutex
	registry *registry.Registry
	services map[fleet.ServiceID]*service
	pools    map[poolKey]*upstream.Pool
	// evacuations is guarded by mu.
	evacuations evacuations
	// fleet lists the routers from which the senders to cold upstreams are chosen.
	fleet *warmup.Fleet
	// routingClaim is what is known of the configuration in force if it came from another
	// router. It is guarded by mu.
	routingClaim peerClaim
	// adoptedAt is when the configuration in force was adopted; registeredAt is when
	// registrations were last received from the store or a router.
	adoptedAt    time.Time
	registeredAt time.Time

	// checks holds the poolKeys of upstreams with a connection check in progress.
	checks sync.Map
	// malformedReports holds the poolKeys of upstreams whose reports were found malformed.
	malformedReports sync.Map

	retryDetector *retryDetector
	readiness     *readiness
	storeContact  storeContact
	peers         *peers
	cacheLists    *cacheLists
	suspects      *suspects
	// loadChanged is set when the load has changed since the last report.
	loadChanged atomic.Bool
	// reportNow is signaled when the next report is to be sent before its regular
	// interval has passed.
	reportNow chan struct{}
	// background is canceled when the process ends.
	background context.Context
}

// poolKey identifies one incarnation of an upstream.
type poolKey struct {
	id      fleet.UpstreamID
	address string
	started int64
}

// New returns a gateway without configuration or upstreams. Its background work ends
// with ctx.
func New(ctx context.Context, options Options) *Gateway {
	g := &Gateway{
		options:       options,
		log:           options.Log,
		registry:      registry.New(options.Registry),
		services:      make(map[fleet.ServiceID]*service),
		pools:         make(map[poolKey]*upstream.Pool),
		bodies:        httpconn.NewBodyReader(options.MaxBufferedBytes),
		retryDetector: newRetryDetector(),
		reportNow:     make(chan struct{}, 1),
		background:    ctx,
	}
	g.requestsEnd, g.endRequests = context.WithCancel(ctx)
	g.evacuations = evacuations{begunAt: make(map[fleet.FailureDomainID]time.Time), waitingSince: time.Now()}
	g.storeContact.followsEvacuations = g.followsEvacuations()
	g.policy.Store(&options.Policy)
	g.slowCallers = newSlowCallers(options.SlowCallers, &g.bufferedBytes)
	g.readiness = newReadiness(g)
	g.peers = newPeers(g)
	g.cacheLists = newCacheLists(g)
	g.suspects = newSuspects(g)
	return g
}

// SetPolicy applies a new policy to the running gateway.
func (g *Gateway) SetPolicy(policy Policy) {
	g.mu.Lock()
	g.policy.Store(&policy)
	for _, s := range g.services {
		s.setPolicy(&policy)
	}
	g.mu.Unlock()
	g.peers.setMemberTTL(policy.MemberTTL)
	g.updateFleet()
	g.peers.addAddresses(g.background, nil)
}

// Ready reports whether the load balancer should send connections to this process.
func (g *Gateway) Ready() bool {
	if g.draining.Load() || g.readiness.unready.Load() || g.table.Load() == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Revision() > 0 && g.evacuationsSettled(time.Now())
}

// closesConnections reports whether callers' connections are closed after the response,
// so that callers reconnect to another process.
func (g *Gateway) closesConnections() bool { return g.draining.Load() || g.readiness.unready.Load() }

// service returns the state of a service; nil if it is not configured.
func (g *Gateway) service(id fleet.ServiceID) *service {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.services[id]
}

// pool returns the connection pool of an upstream, created on first use.
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

// start launches the background goroutines.
func (g *Gateway) start(peerListener net.Listener) {
	go g.follow(g.background, "store configuration", &g.storeContact.routing, &routingPart{gateway: g})
	go g.follow(g.background, "store registrations", &g.storeContact.upstreams, &registrationsPart{gateway: g})
	if g.followsEvacuations() {
		go g.follow(g.background, "store evacuations", &g.storeContact.evacuations, &evacuationsPart{gateway: g})
		time.AfterFunc(g.options.EvacuateWithin, g.refreshServices)
	}
	go g.suspects.parts.load(g.background)
	go g.peers.followMembers(g.background)
	go g.peers.sendReports(g.background)
	if g.options.Health != nil {
		go g.checkLeaving(g.background)
	}
	go func() {
		if err := g.peers.network.Serve(g.background, peerListener); err != nil {
			g.log.Error("peer listener failed", zap.Error(err))
		}
	}()
}
