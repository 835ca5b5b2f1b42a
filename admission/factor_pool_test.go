package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// Guards against prompts that move back and forth when a factor lies between two steps.
func TestPlacementWeightHasHysteresis(t *testing.T) {
	g := NewWithT(t)
	w := placementWeight{value: 1}
	update := func(log, observations float64, refreshes int) int {
		for range refreshes {
			w.update(log, observations)
		}
		return w.step
	}
	g.Expect(update(0.2, 100, 20)).To(Equal(0), "beyond half a step")
	g.Expect(update(0.3, 100, weightHoldRefreshes-1)).To(Equal(0), "too short")
	g.Expect(update(0, 100, 1)).To(Equal(0))
	g.Expect(update(0.3, minWeightObservations-1, 20)).To(Equal(0), "too few observations")
	g.Expect(update(0.3, 100, weightHoldRefreshes)).To(Equal(1))
	g.Expect(w.value).To(BeNumerically("~", 1.35, 0.01))
	g.Expect(update(0.1, 100, 20)).To(Equal(1))
	g.Expect(update(-0.6, 100, 20)).To(Equal(-2))
}

// Guards against a sum of a failure domain that lacks its members' observations, and against
// a factor of an engine's earlier start that the other routers keep for ever.
func TestDomainReportCombinesFactorsByWeight(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	s := benchmarkScheduler(2)
	s.upstreams["u0000"].ownFactor = factorEstimate{EngineFactor: EngineFactor{Log: 0.2, Weight: 10}, at: now}
	s.ApplyPeerReport(now, "member", Report{Full: true, Factors: map[fleet.UpstreamID]EngineFactor{"u0000": {Log: 0.5, Weight: 5}}})
	s.ApplyPeerReport(now, "other", Report{Full: true, Factors: map[fleet.UpstreamID]EngineFactor{"u0000": {Log: 1, Weight: 99}}})
	factors := s.DomainReport(now, []fleet.NodeID{"member"}, true).Factors
	g.Expect(factors).To(HaveLen(1))
	g.Expect(factors["u0000"].Log).To(BeNumerically("~", 0.3, 1e-9))
	g.Expect(factors["u0000"].Weight).To(BeNumerically("~", 15, 1e-9))
	s.SetUpstreams([]registry.Upstream{{ID: "u0000", StartedUnixMs: 7}, {ID: "u0001"}})
	g.Expect(s.Report(now, true).Factors).To(Equal(map[fleet.UpstreamID]EngineFactor{"u0000": {}}))
	s.refreshFactors(now)
	g.Expect(s.upstreams["u0000"].pooledFactor.Weight).To(BeZero())
}

// BenchmarkRefreshFactors measures what happens at each factorRefreshInterval.
func BenchmarkRefreshFactors(b *testing.B) {
	for _, c := range []struct{ engines, routers int }{{49, 10}, {1600, 41}} {
		b.Run(fmt.Sprintf("%d engines %d routers", c.engines, c.routers), func(b *testing.B) {
			s := benchmarkScheduler(c.engines)
			now := time.Unix(1000, 0)
			reportFactors(s, now, c.routers)
			b.ReportAllocs()
			for b.Loop() {
				s.factors.refreshedAt = time.Time{}
				s.refreshFactors(now)
			}
		})
	}
}

// BenchmarkPreferredEngines compares the order of engines that are alike with that of
// engines of two speeds.
func BenchmarkPreferredEngines(b *testing.B) {
	for _, count := range []int{49, 1600} {
		for _, uneven := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d engines uneven %v", count, uneven), func(b *testing.B) {
				s := benchmarkScheduler(count)
				s.factors.weighted = uneven
				b.ReportAllocs()
				key := uint64(0)
				for b.Loop() {
					key++
					s.preferredEngines(key, s.ids)
				}
			})
		}
	}
}

func benchmarkScheduler(engines int) *Scheduler {
	s := NewScheduler(Options{PrefillRate: 40_000, AttentionTokens: 50_000, PeerTTL: time.Second}, Capacity{Slots: 64, MemoryTokens: 500_000})
	list := make([]registry.Upstream, engines)
	for i := range list {
		list[i].ID = fleet.UpstreamID(fmt.Sprintf("u%04d", i))
	}
	s.SetUpstreams(list)
	return s
}

// reportFactors has each of the other routers report a factor of each engine.
func reportFactors(s *Scheduler, now time.Time, routers int) {
	factors := make(map[fleet.UpstreamID]EngineFactor, len(s.ids))
	for i, id := range s.ids {
		factors[id] = EngineFactor{Log: float64(i%3-1) / 2, Weight: 8}
	}
	for i := range routers {
		s.ApplyPeerReport(now, fleet.NodeID(fmt.Sprint("router-", i)), Report{Full: true, Factors: factors})
	}
}

// Guards against another order of engines than before where all are alike.
func TestOrderOfEnginesThatAreAlikeIsUnweighted(t *testing.T) {
	g := NewWithT(t)
	s := benchmarkScheduler(49)
	for key := range uint64(100) {
		g.Expect(s.preferredEngines(key, s.ids)).To(Equal(placement.PreferredEngines(key, s.ids)))
	}
}
