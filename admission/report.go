package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Report is what a router tells the others about one service.
type Report struct {
	Upstreams map[fleet.UpstreamID]UpstreamLoad
	Teams     Usage
	// Prompts is what the engines were sent since the report before.
	Prompts []SentPrompt
}

// SentPrompt is a prompt that an engine was sent.
type SentPrompt struct {
	Upstream fleet.UpstreamID
	Parts    []placement.PartKey
}

// Report returns this router's load and accounts, and what is new since the report
// before.
func (s *Scheduler) Report(now time.Time) Report {
	report := Report{Upstreams: make(map[fleet.UpstreamID]UpstreamLoad), Teams: s.accounts.sum(now), Prompts: s.sent}
	s.sent = nil
	for _, id := range s.ids {
		u := s.upstreams[id]
		load := u.load
		if load.Running == 0 {
			continue
		}
		report.Upstreams[id] = load
	}
	return report
}

// PeerReport takes the report of another router. It replaces the one before.
func (s *Scheduler) PeerReport(now time.Time, node fleet.NodeID, report Report) {
	s.peerUsage[node] = peerUsage{usage: report.Teams, at: now}
	for _, prompt := range report.Prompts {
		if u := s.upstreams[prompt.Upstream]; u != nil {
			u.cache.Add(prompt.Parts)
		}
	}
	for _, id := range s.ids {
		u := s.upstreams[id]
		load, ok := report.Upstreams[id]
		if !ok {
			delete(u.peers, node)
			continue
		}
		u.peers[node] = peerLoad{UpstreamLoad: load, at: now}
	}
}

// PeerLost forgets another router.
func (s *Scheduler) PeerLost(node fleet.NodeID) {
	delete(s.peerUsage, node)
	for _, u := range s.upstreams {
		delete(u.peers, node)
	}
}
