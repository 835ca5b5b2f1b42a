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
	// maxMeshRouters is the number of other routers up to which each tells every other
	// one its load. In larger fleets routers tell those of their failure domain, and
	// its aggregator tells the other domains the sums.
	maxMeshRouters = 10
	// aggregatorTimeout is how long an aggregator may be silent before another one
	// takes its place.
	aggregatorTimeout = 2 * time.Second
	// maxPendingSums bounds the sums that wait to be handed on.
	maxPendingSums = 256
)

// reportTargets is whom this router tells its load.
type reportTargets struct {
	// local get this router's own load, and the sums of other failure domains.
	local []*peer.Session
	// members are the other routers of this failure domain.
	members []fleet.NodeID
	// aggregators are those of the other failure domains; empty unless this router
	// is the one of its own.
	aggregators []*peer.Session
}

// reportTargets returns whom this router tells its load.
func (p *peers) reportTargets(now time.Time) reportTargets {
	all := p.sessions.All(peerpb.Role_ROLE_ROUTER)
	if len(all) <= maxMeshRouters {
		p.setAggregator("")
		return reportTargets{local: all}
	}
	var out reportTargets
	var far []*peer.Session
	for _, s := range all {
		if !p.sameDomain(s) {
			far = append(far, s)
			continue
		}
		out.local = append(out.local, s)
		out.members = append(out.members, s.ID())
	}
	elected := aggregate.Elect(now, aggregatorTimeout, p.candidates(now, all))
	if p.setAggregator(elected[p.gateway.options.Location.FailureDomain]) {
		out.aggregators = slices.DeleteFunc(far, func(s *peer.Session) bool { return elected[s.Location().FailureDomain] != s.ID() })
	}
	return out
}

// sameDomain reports whether a router is of this one's failure domain.
func (p *peers) sameDomain(s *peer.Session) bool {
	return s.Location().FailureDomain == p.gateway.options.Location.FailureDomain
}

// setAggregator takes the result of an election in this failure domain, and reports
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

// isAggregator reports whether a router sums the loads of this failure domain.
func (p *peers) isAggregator(id fleet.NodeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.aggregator == id
}

// domains returns the number of failure domains with a connected router, and whether
// the fleet is so large that loads are summed.
func (p *peers) domains() (count int, summed bool) {
	all := p.sessions.All(peerpb.Role_ROLE_ROUTER)
	known := map[fleet.FailureDomainID]bool{p.gateway.options.Location.FailureDomain: true}
	for _, s := range all {
		known[s.Location().FailureDomain] = true
	}
	return len(known), len(all) > maxMeshRouters
}

// candidates returns this router and the connected ones.
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

// recordHeard notes that a router was heard of.
func (p *peers) recordHeard(id fleet.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastHeard[id] = time.Now()
}

// removeSession drops what is kept of a session that ended, and the sums of its failure
// domain if it was the last one there.
func (p *peers) removeSession(ended *peer.Session) {
	domain := ended.Location().FailureDomain
	last := true
	for _, s := range p.sessions.All(peerpb.Role_ROLE_ROUTER) {
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

// domainSumID is the name under which the sums of a failure domain are kept among the loads
// of single routers.
func domainSumID(domain fleet.FailureDomainID) fleet.NodeID { return fleet.NodeID("domain/" + domain) }

// applyLoad takes a report: of one router, of failure domains, or of both.
func (p *peers) applyLoad(s *peer.Session, m *peerpb.LoadReport) {
	near := p.sameDomain(s)
	if len(m.GetServices()) > 0 {
		if !near {
			p.dropDomainSum(s.Location().FailureDomain)
		}
		p.gateway.applyPeerLoad(s.ID(), m.GetServices())
		if near && p.aggregating.Load() {
			p.gateway.recordDomainPrompts(m.GetServices())
		}
	}
	for _, sum := range m.GetDomains() {
		p.applyDomainSum(sum)
	}
	if !near {
		p.queueSums(m.GetDomains())
	}
}

// dropDomainSum drops the sums of a failure domain whose routers tell their loads
// themselves: nothing counts twice.
func (p *peers) dropDomainSum(domain fleet.FailureDomainID) {
	p.mu.Lock()
	summed := p.summedDomains[domain]
	delete(p.summedDomains, domain)
	p.mu.Unlock()
	if summed {
		p.gateway.removePeer(domainSumID(domain))
	}
}

// applyDomainSum takes the sums of another failure domain, in place of what its routers told
// themselves.
func (p *peers) applyDomainSum(sum *peerpb.DomainLoad) {
	domain := fleet.FailureDomainID(sum.GetFailureDomain())
	if domain == p.gateway.options.Location.FailureDomain {
		return
	}
	p.mu.Lock()
	summed := p.summedDomains[domain]
	p.summedDomains[domain] = true
	p.mu.Unlock()
	if !summed {
		for _, s := range p.sessions.All(peerpb.Role_ROLE_ROUTER) {
			if s.Location().FailureDomain == domain {
				p.gateway.removePeer(s.ID())
			}
		}
	}
	p.gateway.applyPeerLoad(domainSumID(domain), sum.GetServices())
}

// queueSums keeps sums for the routers of this failure domain. While too many wait the
// newest are left out: the next full ones make up for them.
func (p *peers) queueSums(sums []*peerpb.DomainLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := max(maxPendingSums-len(p.pendingSums), 0)
	p.pendingSums = append(p.pendingSums, sums[:min(len(sums), room)]...)
}

// takePendingSums returns the sums to hand on.
func (p *peers) takePendingSums() []*peerpb.DomainLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := p.pendingSums
	p.pendingSums = nil
	return sums
}
