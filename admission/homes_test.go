package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Pattern: many requests with few long common prefixes.
func TestSharedPartsStayOnFewEngines(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 12)
	seen := map[int]map[fleet.UpstreamID]bool{}
	for i := range 3000 {
		w.pass(20 * time.Millisecond)
		topic := i % 30
		d, _ := w.ask("team", shared(topic, i))
		if !d.Admitted {
			continue
		}
		if seen[topic] == nil {
			seen[topic] = map[fleet.UpstreamID]bool{}
		}
		seen[topic][d.Upstream.ID] = true
	}
	for topic, engines := range seen {
		w.Expect(len(engines)).To(BeNumerically("<=", 2), fmt.Sprint(topic))
	}
}

// Pattern: a fleet that has just started, with more new prefixes at once than their
// homes read in time while other engines are idle.
func TestNewPrefixesUseAllEnginesWhileTheirMemoryHasRoom(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	w := newWorld(t, options(), capacity, 12)
	const prefixes = 12 // Within 60 ms, 0.24 s of work each for 12 engines.
	for topic := range prefixes {
		w.pass(5 * time.Millisecond)
		d, _ := w.ask("team", shared(topic, topic))
		w.Expect(d.Admitted).To(BeTrue(), fmt.Sprint(topic))
		w.Expect(w.free[d.Upstream.ID].Sub(w.now) + overhead).To(BeNumerically("<", objective))
	}
	w.pass(5 * time.Second)
	// They are found again where they were read.
	for topic := range prefixes {
		w.pass(20 * time.Millisecond)
		d, _ := w.ask("team", shared(topic, 100+topic))
		w.Expect(d.Prefill).To(Equal(2000), fmt.Sprint(topic))
		w.Expect(d.CopyFrom).To(BeEmpty(), fmt.Sprint(topic))
	}
}

// Pattern: more prefixes than all memories hold.
func TestNewPrefixesStayAtTheirHomesOnceMemoriesAreFull(t *testing.T) {
	capacity := engineCapacity()
	capacity.MemoryTokens = 40_000
	w := newWorld(t, options(), capacity, 6)
	for topic := range 60 {
		w.pass(time.Second)
		w.ask("team", shared(topic, topic))
	}
	engines := map[fleet.UpstreamID]bool{}
	for i := range 20 {
		w.pass(time.Millisecond)
		if d, _ := w.ask("team", shared(500, 1000+i)); d.Admitted {
			engines[d.Upstream.ID] = true
		}
	}
	w.Expect(len(engines)).To(BeNumerically("<=", 2))
}

// Pattern: one prompt prefix is hotter than one engine can serve.
func TestHotPrefixIsCopiedToItsSecondHome(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	w := newWorld(t, options(), capacity, 12)
	copies := 0
	for i := range 400 {
		w.pass(25 * time.Millisecond) // 80,000 tokens a second for one engine's 50,000.
		d, _ := w.ask("team", shared(7, i))
		w.Expect(d.Admitted).To(BeTrue())
		if d.CopyFrom != "" {
			copies++
			w.Expect(d.CopyFrom).NotTo(Equal(d.Upstream.Address))
			w.Expect(d.Prefill).To(Equal(2000))
		}
	}
	w.Expect(copies).To(Equal(1))
}
