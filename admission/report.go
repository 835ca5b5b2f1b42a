package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Report is what a router tells the others about one service.
type Report struct {
	Upstreams map[fleet.UpstreamID]UpstreamLoad
	Teams     Usage
}

// Report returns this router's load and accounts.
func (s *Scheduler) Report(now time.Time) Report {
	report := Report{Upstreams: make(map[fleet.UpstreamID]UpstreamLoad), Teams: s.accounts.sum(now)}
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
