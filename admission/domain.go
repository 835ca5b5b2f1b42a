package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// DomainReport returns the aggregated load of this router and of members, the other
// routers of its failure domain, and the prompts sent since the previous domain report.
// Members whose last report is older than PeerTTL are left out.
func (s *Scheduler) DomainReport(now time.Time, members []fleet.NodeID, full bool) Report {
	s.expirePeers(now)
	report := Report{Full: full, Upstreams: make(map[fleet.UpstreamID]UpstreamLoad), Prompts: s.unreportedDomainPrompts}
	s.unreportedDomainPrompts = nil
	inDomain := make(map[fleet.NodeID]bool, len(members))
	for _, member := range members {
		inDomain[member] = true
	}
	for _, id := range s.ids {
		u := s.upstreams[id]
		sum := u.domainLoad(inDomain)
		if full && sum.Running > 0 || !full && sum != u.reportedDomainLoad {
			report.Upstreams[id] = sum
		}
		u.reportedDomainLoad = sum
	}
	if full {
		report.Teams = s.domainUsage(now, members)
		report.Speed = s.domainSpeed(members)
		report.Factors = s.domainFactors(now, members)
	}
	return report
}

// domainLoad returns the sum of this router's load and that of the given other routers.
func (u *upstream) domainLoad(others map[fleet.NodeID]bool) UpstreamLoad {
	sum := u.load
	for node, peer := range u.peers {
		if others[node] {
			sum = sum.plus(peer.UpstreamLoad)
		}
	}
	return sum
}

func (s *Scheduler) domainUsage(now time.Time, members []fleet.NodeID) Usage {
	total := s.usageWindow.sum(now)
	for _, member := range members {
		if peer, ok := s.peerUsage[member]; ok && now.Sub(peer.at) < s.options.PeerTTL {
			total.add(peer.usage)
		}
	}
	return total
}

// domainSpeed returns the median speed estimate of the domain's routers, or nil if none
// has enough observations.
func (s *Scheduler) domainSpeed(members []fleet.NodeID) *EngineSpeed {
	var estimates []EngineSpeed
	if own, ok := s.model.speed(); ok {
		estimates = append(estimates, own)
	}
	for _, member := range members {
		if speed, ok := s.speeds.byRouter[member]; ok {
			estimates = append(estimates, speed)
		}
	}
	if len(estimates) == 0 {
		return nil
	}
	speed := medianSpeed(estimates)
	return &speed
}

// RecordDomainPrompts queues prompts sent by another router of this failure domain for the
// next domain report.
func (s *Scheduler) RecordDomainPrompts(prompts []SentPrompt) { s.queueDomainPrompts(prompts...) }

// queueDomainPrompts queues prompts for the next domain report and drops those beyond
// maxUnreportedPrompts.
func (s *Scheduler) queueDomainPrompts(prompts ...SentPrompt) {
	room := maxUnreportedPrompts - len(s.unreportedDomainPrompts)
	s.unreportedDomainPrompts = append(s.unreportedDomainPrompts, prompts[:min(len(prompts), max(room, 0))]...)
}
