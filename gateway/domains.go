package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/aggregate"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// maxMeshRouters is the number of other routers up to which every router sends its
	// load to every other one. In larger fleets routers send it within their failure
	// domain, whose aggregator sends the sums to the other domains.
	maxMeshRouters = 10
	// aggregatorTimeout is how long an aggregator may be silent before another one is
	// elected.
	aggregatorTimeout = 2 * time.Second
	// maxSummedDomains is the number of failure domains up to which the sums of any are held;
	// beyond it only those of known ones are.
	maxSummedDomains = 256
	// maxPendingSums limits the number of sums waiting to be forwarded.
	maxPendingSums = 256
)

// reportTargets are the sessions that this router sends load reports to.
type reportTargets struct {
	// local receive this router's own load and the sums of other failure domains.
	local []*peer.Session
	// members are the other routers of this failure domain.
	members []fleet.NodeID
	// aggregators are the aggregators of the other failure domains; empty unless this
	// router is the aggregator of its own.
	aggregators []*peer.Session
}

// reportTargets returns the sessions that this router sends load reports to, and elects
// the aggregators in large fleets.
func (p *peers) reportTargets(now time.Time) reportTargets {
	all := p.sessions.ByRole(peerpb.Role_ROLE_ROUTER)
	if len(all) <= maxMeshRouters {
		p.setAggregator("")
		return reportTargets{local: all}
	}
	var out reportTargets
	var remote []*peer.Session
	for _, s := range all {
		if !p.sameDomain(s) {
			remote = append(remote, s)
			continue
		}
		out.local = append(out.local, s)
		out.members = append(out.members, s.ID())
	}
	elected := aggregate.Elect(now, aggregatorTimeout, p.candidates(now, all))
	if p.setAggregator(elected[p.gateway.options.Location.FailureDomain]) {
		out.aggregators = slices.DeleteFunc(remote, func(s *peer.Session) bool { return elected[s.Location().FailureDomain] != s.ID() })
	}
	return out
}

// sameDomain reports whether a router is in this router's failure domain.
func (p *peers) sameDomain(s *peer.Session) bool {
	return s.Location().FailureDomain == p.gateway.options.Location.FailureDomain
}

// setAggregator stores the elected aggregator of this failure domain and reports
// whether it is this router.
func (p *peers) setAggregator(id fleet.NodeID) bool {
	p.mu.Lock()
	changed := p.aggregator != id
	p.aggregator = id
	p.mu.Unlock()
	aggregating := id == p.gateway.options.ID
	p.aggregating.Store(aggregating)
	if changed {
		p.gateway.log.Info("aggregator elected", zap.String("elected", string(id)), zap.Bool("this_router", aggregating))
	}
	return aggregating
}

// isAggregator reports whether a router is the aggregator of this failure domain.
func (p *peers) isAggregator(id fleet.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aggregator == id
}

// domains returns the number of failure domains with a connected router, and whether
// the fleet is large enough for loads to be summed by domain.
func (p *peers) domains() (count int, summed bool) {
	all := p.sessions.ByRole(peerpb.Role_ROLE_ROUTER)
	known := map[fleet.FailureDomainID]bool{p.gateway.options.Location.FailureDomain: true}
	for _, s := range all {
		known[s.Location().FailureDomain] = true
	}
	return len(known), len(all) > maxMeshRouters
}

// candidates returns this router and the connected ones as candidates for aggregator.
func (p *peers) candidates(now time.Time, all []*peer.Session) []aggregate.Candidate {
	o := &p.gateway.options
	out := []aggregate.Candidate{{
		ID: o.ID, Domain: o.Location.FailureDomain, Processors: float64(float32(o.Processors)), LastHeard: now, Leaving: p.gateway.closesConnections(),
	}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range all {
		out = append(out, aggregate.Candidate{
			ID: s.ID(), Domain: s.Location().FailureDomain, Processors: s.Processors(), LastHeard: p.lastHeard[s.ID()],
			Leaving: p.draining[s.ID()] || p.unready[s.ID()],
		})
	}
	return out
}

// recordHeard records that a message of a router has arrived.
func (p *peers) recordHeard(id fleet.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[id] = time.Now()
}

// removeSession drops the state of a session that ended, and the sums of its failure
// domain if it was the last session to that domain.
func (p *peers) removeSession(ended *peer.Session) {
	domain := ended.Location().FailureDomain
	last := true
	for _, s := range p.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		last = last && s.Location().FailureDomain != domain
	}
	p.mu.Lock()
	delete(p.lastHeard, ended.ID())
	delete(p.unready, ended.ID())
	dropped := last && p.summedDomains[domain]
	if dropped {
		delete(p.summedDomains, domain)
	}
	p.mu.Unlock()
	if dropped {
		p.gateway.removePeer(domainSumID(domain))
	}
}

// domainSumID is the node ID under which the sums of a failure domain are stored among
// the loads of single routers.
func domainSumID(domain fleet.FailureDomainID) fleet.NodeID { return fleet.NodeID("domain/" + domain) }

// applyLoad applies a load report, which holds the load of one router, sums of failure
// domains, or both.
func (p *peers) applyLoad(s *peer.Session, m *peerpb.LoadReport) {
	local := p.sameDomain(s)
	if len(m.GetServices()) > 0 {
		if !local {
			p.dropDomainSum(s.Location().FailureDomain)
		}
		p.gateway.applyPeerLoad(s.ID(), m.GetServices())
		if local && p.aggregating.Load() {
			p.gateway.recordDomainPrompts(m.GetServices())
		}
	}
	for _, sum := range m.GetDomains() {
		p.applyDomainSum(sum)
	}
	if !local {
		p.queueSums(m.GetDomains())
	}
}

// dropDomainSum drops the sums of a failure domain whose routers report their loads
// individually, so that no load counts twice.
func (p *peers) dropDomainSum(domain fleet.FailureDomainID) {
	p.mu.Lock()
	summed := p.summedDomains[domain]
	delete(p.summedDomains, domain)
	p.mu.Unlock()
	if summed {
		p.gateway.removePeer(domainSumID(domain))
	}
}

// applyDomainSum applies the sums of another failure domain. They replace the loads
// that its routers reported individually.
func (p *peers) applyDomainSum(sum *peerpb.DomainLoad) {
	domain := fleet.FailureDomainID(sum.GetFailureDomain())
	if domain == p.gateway.options.Location.FailureDomain || !p.mayHoldSum(domain) {
		return
	}
	p.mu.Lock()
	summed := p.summedDomains[domain]
	p.summedDomains[domain] = true
	p.mu.Unlock()
	if !summed {
		for _, s := range p.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
			if s.Location().FailureDomain == domain {
				p.gateway.removePeer(s.ID())
			}
		}
	}
	p.gateway.applyPeerLoad(domainSumID(domain), sum.GetServices())
}

// mayHoldSum reports whether the sums of a failure domain are held already or may be added:
// there is room, or the domain is known otherwise.
func (p *peers) mayHoldSum(domain fleet.FailureDomainID) bool {
	p.mu.Lock()
	fits := p.summedDomains[domain] || len(p.summedDomains) < maxSummedDomains
	p.mu.Unlock()
	return fits || p.gateway.knownDomains()[domain]
}

// queueSums queues sums for the routers of this failure domain. When the queue is full
// the newest are dropped; the next full report makes up for them.
func (p *peers) queueSums(sums []*peerpb.DomainLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := max(maxPendingSums-len(p.pendingSums), 0)
	p.pendingSums = append(p.pendingSums, sums[:min(len(sums), room)]...)
}

// takePendingSums empties the queue of sums and returns them.
func (p *peers) takePendingSums() []*peerpb.DomainLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := p.pendingSums
	p.pendingSums = nil
	return sums
}
