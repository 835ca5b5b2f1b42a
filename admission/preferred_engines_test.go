package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Guards against caching the same shared parts on many engines, for a workload of many
// requests with few long common prefixes.
func TestSharedPartsStayOnFewEngines(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 12)
	seen := map[int]map[fleet.UpstreamID]bool{}
	for i := range 3000 {
		sim.advance(20 * time.Millisecond)
		topic := i % 30
		d, _ := sim.send("team", shared(topic, i))
		if !d.Admitted {
			continue
		}
		if seen[topic] == nil {
			seen[topic] = map[fleet.UpstreamID]bool{}
		}
		seen[topic][d.Upstream.ID] = true
	}
	for topic, engines := range seen {
		sim.Expect(len(engines)).To(BeNumerically("<=", 2), fmt.Sprint(topic))
	}
}

// Guards against refusals and slow answers after a fleet starts, when more new prefixes
// arrive at once than their preferred engines can prefill in time while other engines are idle.
func TestNewPrefixesUseAllEnginesWhileTheirMemoryHasRoom(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	sim := newSimulation(t, options(), capacity, 12)
	const prefixes = 12 // All within 60 ms, each 0.24 s of prefill, for 12 engines.
	for topic := range prefixes {
		sim.advance(5 * time.Millisecond)
		d, _ := sim.send("team", shared(topic, topic))
		sim.Expect(d.Admitted).To(BeTrue(), fmt.Sprint(topic))
		sim.Expect(sim.idleAt[d.Upstream.ID].Sub(sim.now) + overhead).To(BeNumerically("<", objective))
	}
	sim.advance(5 * time.Second)
	// Later requests are sent to the engines that prefilled the prefixes.
	for topic := range prefixes {
		sim.advance(20 * time.Millisecond)
		d, _ := sim.send("team", shared(topic, 100+topic))
		sim.Expect(d.Prefill).To(Equal(2000), fmt.Sprint(topic))
		sim.Expect(d.CopyFrom).To(BeEmpty(), fmt.Sprint(topic))
	}
}

// Guards against evictions by new prefixes on engines other than their preferred ones, for a
// workload of more prefixes than the memory of all engines holds.
func TestNewPrefixesStayOnPreferredEnginesOnceMemoriesAreFull(t *testing.T) {
	capacity := engineCapacity()
	capacity.MemoryTokens = 40_000
	sim := newSimulation(t, options(), capacity, 6)
	for topic := range 60 {
		sim.advance(time.Second)
		sim.send("team", shared(topic, topic))
	}
	engines := map[fleet.UpstreamID]bool{}
	for i := range 20 {
		sim.advance(time.Millisecond)
		if d, _ := sim.send("team", shared(500, 1000+i)); d.Admitted {
			engines[d.Upstream.ID] = true
		}
	}
	sim.Expect(len(engines)).To(BeNumerically("<=", 2))
}

// Guards against refusals when one prompt prefix gets more requests than one engine can
// serve.
func TestHotPrefixIsCopiedToItsSecondPreferredEngine(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	sim := newSimulation(t, options(), capacity, 12)
	copies := 0
	for i := range 400 {
		sim.advance(25 * time.Millisecond) // 80,000 tokens/s; one engine prefills 50,000 tokens/s.
		d, _ := sim.send("team", shared(7, i))
		sim.Expect(d.Admitted).To(BeTrue())
		if d.CopyFrom != "" {
			copies++
			sim.Expect(d.CopyFrom).NotTo(Equal(d.Upstream.Address))
			sim.Expect(d.Prefill).To(Equal(2000))
		}
	}
	sim.Expect(copies).To(Equal(1))
}
