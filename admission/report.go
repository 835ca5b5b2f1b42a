package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Report is the state of one service at a router that is sent to the other routers.
type Report struct {
	// Full is set if the report lists every upstream with a load and all teams.
	// Incremental reports list only the upstreams whose load changed since the
	// previous report.
	Full      bool
	Upstreams map[fleet.UpstreamID]UpstreamLoad
	// Teams is set in full reports only.
	Teams Usage
	// Speed is the router's own estimate of the engines' speed. It is set in full
	// reports only, once it is based on enough observations.
	Speed *EngineSpeed
	// Factors lists some of the engines' factors in turn. It is set in full reports only.
	// A factor without weight invalidates earlier ones of the engine.
	Factors map[fleet.UpstreamID]EngineFactor
	// Prompts lists the prompts sent to engines since the previous report.
	Prompts []SentPrompt
}

// SentPrompt is a prompt and the engine it was sent to.
type SentPrompt struct {
	Upstream fleet.UpstreamID
	Prompt   placement.Prompt
}

// Report returns this router's load and the prompts sent since the previous report.
func (s *Scheduler) Report(now time.Time, full bool) Report {
	report := Report{Full: full, Upstreams: make(map[fleet.UpstreamID]UpstreamLoad), Prompts: s.unreportedPrompts}
	s.unreportedPrompts = nil
	s.unreportedTokens = 0
	if full {
		report.Teams = s.usageWindow.sum(now)
		if speed, ok := s.model.speed(); ok {
			report.Speed = &speed
		}
		report.Factors = s.ownFactors()
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

// ApplyPeerReport applies a report from another router.
func (s *Scheduler) ApplyPeerReport(now time.Time, node fleet.NodeID, report Report) {
	if report.Full {
		s.peerUsage[node] = peerUsage{usage: report.Teams, at: now}
		s.setPeerSpeed(node, report.Speed)
		s.setPeerFactors(now, node, report.Factors)
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

// removeUnlisted removes another router's load from the upstreams that its full report
// does not list.
func (s *Scheduler) removeUnlisted(node fleet.NodeID, listed map[fleet.UpstreamID]UpstreamLoad) {
	for _, id := range s.ids {
		u := s.upstreams[id]
		if _, known := u.peers[node]; !known {
			continue
		}
		if _, ok := listed[id]; !ok {
			u.removePeer(node)
		}
	}
}

// setPeerSpeed replaces the speed estimate of another router; nil removes it.
func (s *Scheduler) setPeerSpeed(node fleet.NodeID, speed *EngineSpeed) {
	if speed == nil {
		s.speeds.remove(node)
		return
	}
	s.speeds.set(node, *speed)
}

// RemovePeer removes all state reported by another router.
func (s *Scheduler) RemovePeer(node fleet.NodeID) {
	delete(s.peerUsage, node)
	s.speeds.remove(node)
	delete(s.factors.byRouter, node)
	for _, u := range s.upstreams {
		u.removePeer(node)
	}
}

// expiryInterval is the interval between checks for expired loads of other routers.
const expiryInterval = 50 * time.Millisecond

// expirePeers removes loads of other routers that are PeerTTL old or older.
func (s *Scheduler) expirePeers(now time.Time) {
	if age := now.Sub(s.lastExpiry); age >= 0 && age < expiryInterval {
		return
	}
	s.lastExpiry = now
	for _, u := range s.upstreams {
		u.expirePeers(now, s.options.PeerTTL)
	}
}
