package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// DomainReport returns the load of this router and of members, the other routers of
// its failure domain, together, and what is new since the domain's report before.
// Members that have told nothing for PeerTTL count nothing.
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
	}
	return report
}

// domainLoad returns the load of this router and of some others together.
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

// domainSpeed returns the middle one of what the routers of the domain learnt, nil if
// none has learnt enough.
func (s *Scheduler) domainSpeed(members []fleet.NodeID) *EngineSpeed {
	var learnt []EngineSpeed
	if own, ok := s.model.speed(); ok {
		learnt = append(learnt, own)
	}
	for _, member := range members {
		if speed, ok := s.speeds.byRouter[member]; ok {
			learnt = append(learnt, speed)
		}
	}
	if len(learnt) == 0 {
		return nil
	}
	middle := medianSpeed(learnt)
	return &middle
}

// RecordDomainPrompts keeps what a router of this one's failure domain sent to engines for the
// domain's next report.
func (s *Scheduler) RecordDomainPrompts(prompts []SentPrompt) { s.queueDomainPrompts(prompts...) }

func (s *Scheduler) queueDomainPrompts(prompts ...SentPrompt) {
	room := maxUnreportedPrompts - len(s.unreportedDomainPrompts)
	s.unreportedDomainPrompts = append(s.unreportedDomainPrompts, prompts[:min(len(prompts), max(room, 0))]...)
}
