// Package router implements the router process. A router queues callers'
// requests, binds them to slots that sidecars grant, relays the responses, and
// holds the fairness accounts of the teams that are assigned to it.
package router

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/claim"
	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/operator"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/platform"
)

// ErrListen reports that the listener of callers or operators failed.
var ErrListen = eris.New("router: listen failed")

// Request metrics.
var (
	requests  = expvar.NewInt("router_requests")
	completed = expvar.NewInt("router_completed")
	retries   = expvar.NewInt("router_retries")
	// dispatched is the number of requests that are running at a sidecar.
	dispatched = expvar.NewInt("router_dispatched")
	refused    = expvar.NewMap("router_refused")
)

// Router is a router process.
type Router struct {
	settings    config.RouterSettings
	incarnation fleet.Incarnation
	log         *zap.Logger
	ctx         context.Context
	store       platform.Store

	sessions      *node.Sessions
	configAdopter *node.ConfigAdopter
	network       *peer.Network
	queue         *queue
	membership    *membership
	vmList        *vmListPoller
	keepers       *keepers
	suspects      *suspects
	budget        *retryBudget
	claims        *claim.Committer
	responses     *claim.ResponseCache
	refusals      *refusalTable

	draining     atomic.Bool
	configBehind atomic.Bool
	inFlight     sync.WaitGroup
}

// New returns a router. Its background goroutines stop when ctx ends.
func New(ctx context.Context, settings config.RouterSettings, tls TLS, store platform.Store, log *zap.Logger) *Router {
	r := &Router{
		settings:    settings,
		incarnation: fleet.Incarnation(time.Now().UnixNano()),
		log:         log,
		ctx:         ctx,
		store:       store,
		sessions:    node.NewSessions(),
		budget:      newRetryBudget(settings.RetryBudget),
		claims:      claim.NewCommitter(store, claim.CommitterConfig{Partitions: claimPartitions, Log: log}),
		responses:   claim.NewResponseCache(claim.ResponseCacheConfig{Now: time.Now}),
		refusals:    newRefusalTable(),
	}
	location := fleet.Location{Region: settings.Region, FailureDomain: settings.FailureDomain}
	r.queue = newQueue(r.sessions, dispatch.RouterConfig{
		Self:            settings.ID,
		Location:        location,
		RefreshInterval: node.DemandRefreshInterval,
	})
	r.keepers = newKeepers(r.sessions, settings.ID, settings.Region, r.incarnation)
	r.suspects = newSuspects(r.sessions)
	r.configAdopter = node.NewConfigAdopter(ctx, node.ConfigAdopterOptions{
		Sessions: r.sessions,
		Store:    store,
		Log:      log,
		OnAdopt:  r.applyConfig,
		OnBehind: r.configBehind.Store,
	})
	r.membership = newMembership(r.queue, r.configAdopter.Index, log)
	r.vmList = newVMListPoller(r.sessions, settings.Region, r.membership)
	local := &peer.Local{
		Hello:      r.hello(),
		Source:     node.DialSource(settings.Listen.Peer),
		Generation: r.configAdopter.Generation,
		Draining:   r.draining.Load,
	}
	r.network = peer.NewNetwork(local, r, log, tls.PeerServer, tls.PeerClient)
	return r
}

// claimPartitions is the number of partitions of the claims in the platform.
const claimPartitions = 8

func (r *Router) hello() *peerpb.Hello {
	return &peerpb.Hello{
		ProtocolVersion: peer.ProtocolVersion,
		Id:              string(r.settings.ID),
		Incarnation:     uint64(r.incarnation),
		Role:            peerpb.Role_ROLE_ROUTER,
		Region:          string(r.settings.Region),
		FailureDomain:   string(r.settings.FailureDomain),
	}
}

// applyConfig applies a newly adopted configuration.
func (r *Router) applyConfig(s config.Snapshot) {
	r.claims.SetRetention(s.Inventory.Rules.ClaimRetention.Std())
	limits := s.Inventory.Rules.Limits
	r.queue.step(dispatch.UpdateLimits{Limits: dispatch.Limits{
		TeamWaiting:   limits.TeamWaiting,
		RouterWaiting: limits.RouterWaiting,
		RouterBytes:   limits.RouterBytes,
	}})
	r.network.SetTargets(r.ctx, r.peerTargets(s.Inventory))
	// Runs in a goroutine, because the ConfigAdopter's lock is held here and
	// membership takes its own lock.
	go r.membership.applyConfig()
}

// peerTargets returns the peers that this router dials: every sidecar, and every
// router with a higher identifier, so that one router of each pair dials.
func (r *Router) peerTargets(inv config.Inventory) []peer.Target {
	var targets []peer.Target
	for _, u := range inv.Upstreams {
		targets = append(targets, peer.Target{ID: fleet.NodeID(u.ID), Address: u.SidecarAddress})
	}
	for _, other := range inv.Routers {
		if other.ID > r.settings.ID {
			targets = append(targets, peer.Target{ID: other.ID, Address: other.PeerAddress})
		}
	}
	return targets
}

// Run serves until ctx ends and then shuts down, waiting for requests no longer
// than the drain timeout.
func (r *Router) Run(ctx context.Context, listeners Listeners) error {
	background, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.start(background, listeners.Peer)
	callerServer := caller.NewServer(caller.Options{
		Limits:  r.settings.Limits,
		Log:     r.log,
		Index:   r.configAdopter.Index,
		Backend: r,
	}).HTTPServer()
	adminServer := operator.NewHTTPServer(operator.Options{
		Tokens:    r.settings.AdminTokens,
		Publisher: config.NewPublisher(r.store, time.Now),
		Reporter:  r,
		Log:       r.log,
	})
	defer adminServer.Close()
	serveErrs := make(chan error, 2)
	go func() { serveErrs <- adminServer.Serve(listeners.Admin) }()
	go func() {
		limited := netutil.LimitListener(listeners.Caller, r.settings.Limits.MaxConnections)
		serveErrs <- callerServer.Serve(limited)
	}()
	r.log.Info("router started", zap.Stringer("caller", listeners.Caller.Addr()))
	select {
	case <-ctx.Done():
		r.stop(callerServer)
		r.claims.Close()
		return nil
	case err := <-serveErrs:
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(ErrListen, err.Error())
	}
}

// start starts the background goroutines of the router.
func (r *Router) start(ctx context.Context, ln net.Listener) {
	go func() {
		if err := r.network.Serve(ctx, ln); err != nil {
			r.log.Error("peer listener failed", zap.Error(err))
		}
	}()
	go r.configAdopter.WatchHead(ctx)
	go r.vmList.run(ctx, r.store)
	go r.keepers.sendRegionSums(ctx)
	go r.keepers.sendAccountUpdates(ctx)
	go r.persistSuspects(ctx)
	go r.runConfigCollector(ctx)
	seeds := make([]peer.Target, 0, len(r.settings.Peers))
	for _, address := range r.settings.Peers {
		seeds = append(seeds, peer.Target{Address: address})
	}
	r.network.SetTargets(ctx, seeds)
}

// stop drains the router: it refuses new requests and waits for queued and
// running ones until the drain timeout. Requests that have not ended by then are
// cut off when the process exits.
func (r *Router) stop(callerServer *http.Server) {
	r.log.Info("router stopping")
	r.draining.Store(true)
	r.sessions.SendHeartbeats()
	r.queue.step(dispatch.StopAccepting{})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), r.settings.DrainTimeout.Std())
	defer cancel()
	if err := callerServer.Shutdown(ctx); err != nil {
		r.log.Warn("requests cut by the drain timeout", zap.Error(err))
	}
	done := make(chan struct{})
	go func() {
		r.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	r.log.Info("router stopped")
}
