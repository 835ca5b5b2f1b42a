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
	// meshRouters is the number of other routers up to which each tells every other
	// one its load. In larger fleets routers tell those of their failure domain, and
	// its aggregator tells the other domains the sums.
	meshRouters = 10
	// aggregatorSilence is how long an aggregator may be silent before another one
	// takes its place.
	aggregatorSilence = 2 * time.Second
	// maxSums bounds the sums that wait to be handed on.
	maxSums = 256
)

// receivers is whom this router tells its load.
type receivers struct {
	// near get this router's own load, and the sums of other failure domains.
	near []*peer.Session
	// members are the other routers of this failure domain.
	members []fleet.NodeID
	// aggregators are those of the other failure domains; empty unless this router
	// is the one of its own.
	aggregators []*peer.Session
}

// receivers returns whom this router tells its load.
func (p *peers) receivers(now time.Time) receivers {
	all := p.sessions.All(peerpb.Role_ROLE_ROUTER)
	if len(all) <= meshRouters {
		p.setAggregator("")
		return receivers{near: all}
	}
	var out receivers
	var far []*peer.Session
	for _, s := range all {
		if !p.near(s) {
			far = append(far, s)
			continue
		}
		out.near = append(out.near, s)
		out.members = append(out.members, s.ID())
	}
	elected := aggregate.Elect(now, aggregatorSilence, p.candidates(now, all))
	if p.setAggregator(elected[p.gateway.options.Location.FailureDomain]) {
		out.aggregators = slices.DeleteFunc(far, func(s *peer.Session) bool { return elected[s.Location().FailureDomain] != s.ID() })
	}
	return out
}

// near reports whether a router is of this one's failure domain.
func (p *peers) near(s *peer.Session) bool {
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
	return len(known), len(all) > meshRouters
}

// candidates returns this router and the connected ones.
func (p *peers) candidates(now time.Time, all []*peer.Session) []aggregate.Candidate {
	o := &p.gateway.options
	out := []aggregate.Candidate{{
		ID: o.ID, Domain: o.Location.FailureDomain, Processors: float64(float32(o.Processors)), LastHeard: now, Leaving: p.gateway.closing(),
	}}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range all {
		out = append(out, aggregate.Candidate{
			ID: s.ID(), Domain: s.Location().FailureDomain, Processors: s.Processors(), LastHeard: p.heard[s.ID()],
			Leaving: p.draining[s.ID()] || p.unready[s.ID()],
		})
	}
	return out
}

// hear notes that a router was heard of.
func (p *peers) hear(id fleet.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[id] = time.Now()
}

// forget drops what is kept of a session that ended, and the sums of its failure
// domain if it was the last one there.
func (p *peers) forget(ended *peer.Session) {
	domain := ended.Location().FailureDomain
	last := true
	for _, s := range p.sessions.All(peerpb.Role_ROLE_ROUTER) {
		last = last && s.Location().FailureDomain != domain
	}
	p.mu.Lock()
	delete(p.heard, ended.ID())
	delete(p.unready, ended.ID())
	dropped := last && p.summed[domain]
	if dropped {
		delete(p.summed, domain)
	}
	p.mu.Unlock()
	if dropped {
		p.gateway.peerLost(sumOf(domain))
	}
}

// sumOf is the name under which the sums of a failure domain are kept among the loads
// of single routers.
func sumOf(domain fleet.FailureDomainID) fleet.NodeID { return fleet.NodeID("domain/" + domain) }

// takeLoad takes a report: of one router, of failure domains, or of both.
func (p *peers) takeLoad(s *peer.Session, m *peerpb.LoadReport) {
	near := p.near(s)
	if len(m.GetServices()) > 0 {
		if !near {
			p.takeSingle(s.Location().FailureDomain)
		}
		p.gateway.peerLoad(s.ID(), m.GetServices())
		if near && p.aggregating.Load() {
			p.gateway.hearDomain(m.GetServices())
		}
	}
	for _, sum := range m.GetDomains() {
		p.takeSum(sum)
	}
	if !near {
		p.handOn(m.GetDomains())
	}
}

// takeSingle drops the sums of a failure domain whose routers tell their loads
// themselves: nothing counts twice.
func (p *peers) takeSingle(domain fleet.FailureDomainID) {
	p.mu.Lock()
	summed := p.summed[domain]
	delete(p.summed, domain)
	p.mu.Unlock()
	if summed {
		p.gateway.peerLost(sumOf(domain))
	}
}

// takeSum takes the sums of another failure domain, in place of what its routers told
// themselves.
func (p *peers) takeSum(sum *peerpb.DomainLoad) {
	domain := fleet.FailureDomainID(sum.GetFailureDomain())
	if domain == p.gateway.options.Location.FailureDomain {
		return
	}
	p.mu.Lock()
	summed := p.summed[domain]
	p.summed[domain] = true
	p.mu.Unlock()
	if !summed {
		for _, s := range p.sessions.All(peerpb.Role_ROLE_ROUTER) {
			if s.Location().FailureDomain == domain {
				p.gateway.peerLost(s.ID())
			}
		}
	}
	p.gateway.peerLoad(sumOf(domain), sum.GetServices())
}

// handOn keeps sums for the routers of this failure domain. While too many wait the
// newest are left out: the next full ones make up for them.
func (p *peers) handOn(sums []*peerpb.DomainLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	room := max(maxSums-len(p.sums), 0)
	p.sums = append(p.sums, sums[:min(len(sums), room)]...)
}

// takeSums returns the sums to hand on.
func (p *peers) takeSums() []*peerpb.DomainLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	sums := p.sums
	p.sums = nil
	return sums
}
