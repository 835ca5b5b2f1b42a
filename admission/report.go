package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Report is what a router tells the others about one service.
type Report struct {
	// Full reports name every upstream with a load, and all teams. Others name
	// the upstreams whose load changed since the report before.
	Full      bool
	Upstreams map[fleet.UpstreamID]UpstreamLoad
	// Teams is nil but in full reports.
	Teams Usage
	// Speed is what the router learnt of the engines; nil but in full reports, or
	// before it has learnt enough.
	Speed *EngineSpeed
	// Prompts is what the engines were sent since the report before.
	Prompts []SentPrompt
}

// SentPrompt is a prompt that an engine was sent.
type SentPrompt struct {
	Upstream fleet.UpstreamID
	Prompt   placement.Prompt
}

// Report returns this router's load, and what is new since the report before.
func (s *Scheduler) Report(now time.Time, full bool) Report {
	report := Report{Full: full, Upstreams: make(map[fleet.UpstreamID]UpstreamLoad), Prompts: s.unreportedPrompts}
	s.unreportedPrompts = nil
	s.unreportedTokens = 0
	if full {
		report.Teams = s.usageWindow.sum(now)
		if speed, learnt := s.model.speed(); learnt {
			report.Speed = &speed
		}
	}
	for _, id := range s.ids {
		u := s.upstreams[id]
		if full && u.load.Running > 0 || !full && u.load != u.reportedLoad {
			report.Upstreams[id] = u.load
		}
		u.reportedLoad = u.load
	}
	return report
}

// ApplyPeerReport takes the report of another router.
func (s *Scheduler) ApplyPeerReport(now time.Time, node fleet.NodeID, report Report) {
	if report.Full {
		s.peerUsage[node] = peerUsage{usage: report.Teams, at: now}
		s.setPeerSpeed(node, report.Speed)
	}
	for _, prompt := range report.Prompts {
		if u := s.upstreams[prompt.Upstream]; u != nil {
			u.cache.Add(prompt.Prompt)
		}
	}
	if report.Full {
		s.removeUnlisted(node, report.Upstreams)
	}
	for id, load := range report.Upstreams {
		if u := s.upstreams[id]; u != nil {
			u.setPeer(now, node, load)
		}
	}
}

// removeUnlisted drops what another router had at upstreams that its full report does not
// name.
func (s *Scheduler) removeUnlisted(node fleet.NodeID, named map[fleet.UpstreamID]UpstreamLoad) {
	for _, id := range s.ids {
		u := s.upstreams[id]
		if _, held := u.peers[node]; !held {
			continue
		}
		if _, ok := named[id]; !ok {
			u.removePeer(node)
		}
	}
}

func (s *Scheduler) setPeerSpeed(node fleet.NodeID, speed *EngineSpeed) {
	if speed == nil {
		s.speeds.remove(node)
		return
	}
	s.speeds.set(node, *speed)
}

// RemovePeer forgets another router.
func (s *Scheduler) RemovePeer(node fleet.NodeID) {
	delete(s.peerUsage, node)
	s.speeds.remove(node)
	for _, u := range s.upstreams {
		u.removePeer(node)
	}
}

// expiryInterval is the time between two looks for other routers' loads that are too
// old.
const expiryInterval = 50 * time.Millisecond

// expirePeers drops what other routers told too long ago.
func (s *Scheduler) expirePeers(now time.Time) {
	if age := now.Sub(s.lastExpiry); age >= 0 && age < expiryInterval {
		return
	}
	s.lastExpiry = now
	for _, u := range s.upstreams {
		u.expirePeers(now, s.options.PeerTTL)
	}
}
