package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

const (
	// catchUpDelay is how long a router waits for the store to deliver registrations
	// that another router already has, before it requests them from that router.
	catchUpDelay = 150 * time.Millisecond
	// routingRequestInterval is the minimum time between two requests for the same
	// configuration.
	routingRequestInterval = 300 * time.Millisecond
	// maxKnownRouters bounds the addresses that are dialed because other routers report them.
	// Registered and connected routers are not subject to it.
	maxKnownRouters = 2048
	// membersInterval is the time between two reads of the registered routers.
	membersInterval = 10 * time.Second
)

// peers exchanges load, configuration and registrations with the other routers.
type peers struct {
	gateway  *Gateway
	sessions *node.Sessions
	network  *peer.Network

	mu sync.Mutex
	// addresses are the known peer addresses of other routers.
	addresses map[fleet.NodeID]string
	// draining holds the routers that are shutting down.
	draining map[fleet.NodeID]bool
	// unready holds the routers that report overload.
	unready map[fleet.NodeID]bool
	// members are the routers that share the retry budgets.
	members *retry.Members
	// warmupMembers are the routers from which the senders to cold upstreams are chosen.
	warmupMembers *warmup.Members
	// behindSince is since when another router has had a newer registry revision.
	behindSince time.Time
	// lastHeard is when each connected router last sent a message.
	lastHeard map[fleet.NodeID]time.Time
	// summedDomains holds the other failure domains whose sums replace the loads of
	// their routers.
	summedDomains map[fleet.FailureDomainID]bool
	// pendingSums are the loads of other failure domains that have not yet been
	// forwarded within this one.
	pendingSums []*peerpb.DomainLoad
	// aggregator is the router that sums the loads of this failure domain; empty if
	// there is none.
	aggregator fleet.NodeID
	// aggregating is set while this router sums the loads of its failure domain.
	aggregating atomic.Bool
	// requestedGeneration is the last configuration requested from another router, at
	// requestedAt.
	requestedGeneration uint64
	requestedAt         time.Time
	// fullReportDue is set when a newly connected router has not been sent a full
	// report yet.
	fullReportDue atomic.Bool
}

func newPeers(g *Gateway) *peers {
	p := &peers{gateway: g, sessions: node.NewSessions(), addresses: make(map[fleet.NodeID]string), draining: make(map[fleet.NodeID]bool),
		unready: make(map[fleet.NodeID]bool), lastHeard: make(map[fleet.NodeID]time.Time), summedDomains: make(map[fleet.FailureDomainID]bool),
		members:       retry.NewMembers(g.options.Policy.MemberTTL),
		warmupMembers: newWarmupMembers(&g.options)}
	local := &peer.Local{
		Hello: &peerpb.Hello{
			ProtocolVersion: peer.ProtocolVersion,
			Id:              string(g.options.ID),
			Incarnation:     uint64(g.options.Incarnation),
			Role:            peerpb.Role_ROLE_ROUTER,
			Region:          string(g.options.Location.Region),
			FailureDomain:   string(g.options.Location.FailureDomain),
			PeerAddress:     g.options.PeerAddress,
			Processors:      float32(g.options.Processors),
		},
		Source:     node.DialSource(g.options.PeerAddress),
		Generation: g.generation,
		Draining:   g.draining.Load,
	}
	p.network = peer.NewNetwork(local, p, g.log, nil, nil)
	return p
}

// generation returns the version of the configuration in force.
func (g *Gateway) generation() uint64 {
	if table := g.table.Load(); table != nil {
		return uint64(table.Version())
	}
	return 0
}

// lacksGeneration reports whether a configuration version is newer than the one in force and
// may exist.
func (g *Gateway) lacksGeneration(generation uint64) bool {
	if generation <= g.generation() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.routingClaim.accepts(generation)
}

// budgetRouters returns the number of routers that share the retry budgets, connected
// or not; zero while unknown.
func (p *peers) budgetRouters() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Count(time.Now())
}

// markConnected records that another router is, or was until now, connected.
func (p *peers) markConnected(s *peer.Session) {
	now := time.Now()
	p.mu.Lock()
	p.members.MarkConnected(now, s.ID())
	changed := p.warmupMembers.MarkConnected(now, s.ID(), s.Location().FailureDomain)
	p.mu.Unlock()
	if changed {
		p.gateway.updateFleet()
	}
}

// addRegistered adds the registered routers to the members.
func (p *peers) addRegistered(found map[fleet.NodeID]registry.Router) {
	now := time.Now()
	ids := make([]fleet.NodeID, 0, len(found))
	domains := make(map[fleet.NodeID]fleet.FailureDomainID, len(found))
	for id, r := range found {
		domains[id] = r.Domain
		if id != p.gateway.options.ID {
			ids = append(ids, id)
		}
	}
	p.mu.Lock()
	p.members.AddRegistered(now, ids)
	changed := p.warmupMembers.SetRegistered(now, domains)
	p.mu.Unlock()
	if changed {
		p.gateway.updateFleet()
	}
}

func (p *peers) setMemberTTL(ttl time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetTTL(ttl)
	p.warmupMembers.SetTTL(ttl)
}

// broadcast sends a message to all connected routers. Each session gets an envelope of its
// own, because it completes the envelope when it writes it.
func (p *peers) broadcast(newEnvelope func() *peerpb.Envelope) {
	for _, s := range p.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		s.Send(newEnvelope())
	}
}

// connectedCount returns the number of connected routers.
func (p *peers) connectedCount() int { return len(p.sessions.ByRole(peerpb.Role_ROLE_ROUTER)) }

func (p *peers) setDraining(id fleet.NodeID, draining bool) { p.setMember(p.draining, id, draining) }

func (p *peers) setUnready(id fleet.NodeID, unready bool) { p.setMember(p.unready, id, unready) }

func (p *peers) setMember(set map[fleet.NodeID]bool, id fleet.NodeID, member bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if member {
		set[id] = true
		return
	}
	delete(set, id)
}

// othersServing reports whether any other router accepts callers.
func (p *peers) othersServing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectedCount() > len(p.draining)
}

// addAddresses adds addresses of other routers and updates the dial targets.
func (p *peers) addAddresses(ctx context.Context, found map[fleet.NodeID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, address := range found {
		if id != p.gateway.options.ID && address != "" {
			p.addresses[id] = address
		}
	}
	p.network.SetTargets(ctx, p.targets())
}

// targets returns the addresses to dial: those of the known routers except the ones
// that have dialed this one, and the unknown seeds. The caller holds mu.
func (p *peers) targets() []peer.Target {
	seeds := p.gateway.policy.Load().Seeds
	targets := make([]peer.Target, 0, len(p.addresses)+len(seeds))
	known := map[string]bool{p.gateway.options.PeerAddress: true}
	for id, address := range p.addresses {
		known[address] = true
		if s := p.sessions.Get(id); s != nil && !s.Dialed() {
			continue
		}
		targets = append(targets, peer.Target{ID: id, Address: address})
	}
	for _, seed := range seeds {
		if !known[seed] {
			targets = append(targets, peer.Target{Address: seed})
		}
	}
	return targets
}

// followMembers registers this router and periodically lists the others until ctx is
// canceled.
func (p *peers) followMembers(ctx context.Context) {
	dep := dependency{name: "store routers", log: p.gateway.log}
	p.addAddresses(ctx, nil)
	registered := false
	for ctx.Err() == nil {
		var err error
		if !registered {
			err = p.gateway.options.Store.RegisterRouter(ctx, p.gateway.options.ID, p.gateway.registration())
			registered = err == nil
		}
		var found map[fleet.NodeID]registry.Router
		if err == nil {
			found, err = p.gateway.options.Store.ListRouters(ctx)
		}
		dep.report(err)
		if err != nil {
			node.Pause(ctx, p.gateway.options.StoreRetry)
			continue
		}
		p.addRegistered(found)
		p.addAddresses(ctx, peerAddresses(found))
		node.Pause(ctx, membersInterval)
	}
}

func (p *peers) routerAddresses() map[fleet.NodeID]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[fleet.NodeID]string, len(p.addresses))
	for id, address := range p.addresses {
		out[id] = address
	}
	return out
}

// SessionUp implements peer.Handler.
func (p *peers) SessionUp(s *peer.Session) {
	if !p.sessions.Add(s) {
		return
	}
	p.gateway.log.Info("session opened", zap.String("peer", string(s.ID())), zap.Stringer("role", s.Role()))
	p.markConnected(s)
	p.recordHeard(s.ID())
	p.addAddresses(p.gateway.background, map[fleet.NodeID]string{s.ID(): s.Address()})
	p.fullReportDue.Store(true)
	p.gateway.suspects.SendAll(s)
	p.gateway.suspects.parts.sendAll(s)
	p.gateway.sendLimits(s)
}

// SessionDown implements peer.Handler.
func (p *peers) SessionDown(s *peer.Session, _ error) {
	if p.sessions.Remove(s) {
		p.markConnected(s)
		p.gateway.removePeer(s.ID())
		p.setDraining(s.ID(), false)
		p.removeSession(s)
		p.addAddresses(p.gateway.background, nil)
	}
}

// Stream implements peer.Handler. Gateways do not open streams to each other.
func (p *peers) Stream(_ *peer.Session, st *peer.Stream) { st.Close() }

// Message implements peer.Handler.
func (p *peers) Message(s *peer.Session, env *peerpb.Envelope) {
	if p.gateway.lacksGeneration(env.GetGeneration()) && env.GetRoutingSnapshot() == nil && p.mayRequestRouting(env.GetGeneration()) {
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_RoutingRequest{RoutingRequest: &peerpb.RoutingRequest{}}})
	}
	p.recordHeard(s.ID())
	switch b := env.Body.(type) {
	case *peerpb.Envelope_Heartbeat:
		p.setDraining(s.ID(), b.Heartbeat.GetDraining())
	case *peerpb.Envelope_LoadReport:
		p.handleLoadReport(s, b.LoadReport)
	case *peerpb.Envelope_RoutingRequest:
		p.sendRouting(s)
	case *peerpb.Envelope_RoutingSnapshot:
		p.gateway.applyPeerRouting(s.ID(), b.RoutingSnapshot)
	case *peerpb.Envelope_RegistryRequest:
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_RegistryUpdate{
			RegistryUpdate: p.gateway.registryUpdate(b.RegistryRequest.GetAfter()),
		}})
	case *peerpb.Envelope_Suspects:
		p.gateway.suspects.applyUpdate(s.ID(), b.Suspects)
	case *peerpb.Envelope_Crashes:
		p.gateway.suspects.parts.applyUpdate(s, b.Crashes)
	case *peerpb.Envelope_Limits:
		p.gateway.applyLimits(s.ID(), b.Limits)
	case *peerpb.Envelope_PartTrial:
		p.gateway.suspects.parts.applyTrial(b.PartTrial)
	case *peerpb.Envelope_RegistryUpdate:
		p.gateway.applyPeerRegistry(s.ID(), b.RegistryUpdate)
	}
}

func (p *peers) handleLoadReport(s *peer.Session, m *peerpb.LoadReport) {
	// The report's contact with the store, recorded below, covers its evacuations.
	p.gateway.applyPeerEvacuations(s.ID(), m.GetEvacuations())
	p.applyLoad(s, m)
	p.markConnected(s)
	p.setDraining(s.ID(), m.GetDraining())
	p.setUnready(s.ID(), m.GetUnready())
	if found := p.newAddresses(m.GetRouters()); len(found) > 0 {
		p.addAddresses(p.gateway.background, found)
	}
	p.gateway.storeContact.recordPeerAge(time.Now(), m.GetStoreAgeMs(), p.isAggregator(s.ID()))
	p.requestRegistrations(s, m.GetRegistryRevision())
}

// newAddresses returns those of the routers reported by another one that are new, as long as no
// more than maxKnownRouters are known.
func (p *peers) newAddresses(routers []*peerpb.RouterAddress) map[fleet.NodeID]string {
	found := make(map[fleet.NodeID]string)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, router := range routers {
		id := fleet.NodeID(router.GetId())
		if _, ok := p.addresses[id]; !ok && id != p.gateway.options.ID && len(p.addresses)+len(found) < maxKnownRouters {
			found[id] = router.GetAddress()
		}
	}
	return found
}

// requestRegistrations requests newer registrations from a router that has them, unless
// this router's own watch of the store is likely to deliver them soon.
func (p *peers) requestRegistrations(s *peer.Session, revision uint64) {
	own := p.gateway.registryRevision()
	p.mu.Lock()
	defer p.mu.Unlock()
	if revision <= own {
		return
	}
	now := time.Now()
	if p.behindSince.IsZero() {
		p.behindSince = now
	}
	if p.gateway.storeContact.watching.Load() && now.Sub(p.behindSince) < catchUpDelay {
		return
	}
	p.behindSince = time.Time{}
	s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_RegistryRequest{RegistryRequest: &peerpb.RegistryRequest{After: own}}})
}

// mayRequestRouting reports whether a configuration generation may be requested from a
// router: not if it was requested from another one a moment ago.
func (p *peers) mayRequestRouting(generation uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if generation <= p.requestedGeneration && now.Sub(p.requestedAt) < routingRequestInterval {
		return false
	}
	p.requestedGeneration, p.requestedAt = generation, now
	return true
}

func (p *peers) sendRouting(s *peer.Session) {
	if definition := p.gateway.encodeRouting(); definition != nil {
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_RoutingSnapshot{
			RoutingSnapshot: &peerpb.RoutingSnapshot{Definition: definition},
		}})
	}
}
