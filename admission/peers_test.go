package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Checks that the running sums of peer loads equal the sum of the unexpired reports after
// any sequence of reports, peer removals and expirations.
func TestPeerLoadMatchesReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		s := admission.NewScheduler(options(), engineCapacity())
		s.SetUpstreams(upstreams(2))
		type entry struct {
			running int
			at      time.Time
		}
		reported := map[fleet.NodeID]map[fleet.UpstreamID]entry{"b": {}, "c": {}, "d": {}}
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "ms")) * time.Millisecond)
			node := rapid.SampledFrom([]fleet.NodeID{"b", "c", "d"}).Draw(t, "router")
			if rapid.IntRange(0, 5).Draw(t, "lost") == 0 {
				s.RemovePeer(node)
				clear(reported[node])
				continue
			}
			report := admission.Report{Full: rapid.Bool().Draw(t, "full"), Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{}}
			if report.Full {
				clear(reported[node])
			}
			for _, id := range []fleet.UpstreamID{"u00", "u01"} {
				if running := rapid.IntRange(0, 4).Draw(t, "running"); running > 0 {
					report.Upstreams[id] = admission.UpstreamLoad{Running: running}
					reported[node][id] = entry{running: running, at: now}
				}
			}
			s.ApplyPeerReport(now, node, report)
			for _, id := range []fleet.UpstreamID{"u00", "u01"} {
				sum := 0
				for _, entries := range reported {
					if e, ok := entries[id]; ok && now.Sub(e.at) < options().PeerTTL {
						sum += e.running
					}
				}
				g.Expect(s.View(now).Upstreams[id].Running).To(Equal(sum))
			}
		}
	})
}
