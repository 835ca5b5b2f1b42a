package config_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Adopter", func() {
	var (
		now     time.Time
		adopter *config.Adopter
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		adopter = config.NewAdopter(config.AdopterOptions{HasPlatform: true})
	})

	generation := func(n uint64) config.Encoded {
		inv := sampleInventory()
		inv.Upstreams[0].Slots = int(n)
		return encode(inv, n)
	}
	whole := func(e config.Encoded, from fleet.NodeID) config.HeadReceived {
		return config.HeadReceived{Head: e.Head, Shards: e.Shards, From: from}
	}

	It("fetches what the platform's head names and adopts it", func() {
		e := generation(1)
		actions := adopter.Step(now, config.HeadReceived{Head: e.Head})
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(config.FetchShards).Hashes).To(HaveLen(len(e.Shards)))
		for _, shard := range e.Shards {
			actions = adopter.Step(now, config.ShardReceived{Shard: shard})
		}
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(config.Adopt).Snapshot.Inventory.Upstreams[0].Slots).To(Equal(1))
		Expect(adopter.Encoded()).To(Equal(e))

		By("needing only the shards that changed for the next one")
		next := generation(2)
		actions = adopter.Step(now, config.HeadReceived{Head: next.Head})
		Expect(actions[0].(config.FetchShards).Hashes).To(HaveLen(1))
		actions = adopter.Step(now, whole(next.Without(e.Hashes()), "router-2"))
		Expect(actions).To(HaveLen(1))
		Expect(adopter.Generation()).To(BeEquivalentTo(2))
	})

	It("asks a neighbour that is ahead, and another when it does not answer", func() {
		request := adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: 3})
		Expect(request).To(ConsistOf(config.RequestFromPeer{Peer: "a", Have: []config.Hash{}}))
		Expect(adopter.Step(now, config.PeerGeneration{Peer: "b", Generation: 3})).To(BeEmpty())
		asked := map[fleet.NodeID]bool{}
		for range 2 {
			wake, ok := adopter.NextWake()
			Expect(ok).To(BeTrue())
			now = wake
			asked[adopter.Step(now, config.Tick{})[0].(config.RequestFromPeer).Peer] = true
		}
		Expect(asked).To(HaveLen(2))
	})

	It("never goes back, and refuses another head of the same generation", func() {
		adopter.Step(now, whole(generation(2), "a"))
		Expect(adopter.Step(now, whole(generation(1), "b"))).To(BeEmpty())
		other := encode(sampleInventory(), 2)
		actions := adopter.Step(now, whole(other, "b"))
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(config.Reject).Err).To(MatchError(config.ErrCorrupt))
		Expect(adopter.Encoded()).To(Equal(generation(2)))
	})

	It("refuses a shard with other content", func() {
		e := generation(1)
		e.Shards[0].Data = []byte("{}")
		actions := adopter.Step(now, whole(e, "a"))
		Expect(actions[0].(config.Reject).Err).To(MatchError(config.ErrCorrupt))
		Expect(adopter.Generation()).To(BeZero())
	})

	It("is behind once a known generation stays out of reach, and no longer once it is held", func() {
		adopter.Step(now, whole(generation(1), "a"))
		_, ok := adopter.NextWake()
		Expect(ok).To(BeFalse())
		adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: 2})
		adopter.Step(now, config.PeerLost{Peer: "a"})
		now = now.Add(config.DefaultBehindTimeout - 1)
		Expect(adopter.Step(now, config.Tick{})).To(BeEmpty())
		now = now.Add(1)
		Expect(adopter.Step(now, config.Tick{})).To(ConsistOf(config.Behind{Held: 1, Known: 2}))
		actions := adopter.Step(now, whole(generation(2), "b"))
		Expect(actions).To(ContainElement(config.CaughtUp{}))
	})

	It("is not behind while it keeps up with changes that never cease", func() {
		for n := uint64(1); n < 30; n++ {
			adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: n + 1})
			now = now.Add(config.DefaultBehindTimeout / 2)
			for _, action := range adopter.Step(now, whole(generation(n), "a")) {
				Expect(action).NotTo(BeAssignableToTypeOf(config.Behind{}))
			}
		}
	})
})

// TestAdopterProperty delivers heads and shards of some generations in any
// order, lost and doubled, from any neighbour. The generation never goes back,
// what is held is always what was accepted under its generation, and it ends
// at the highest generation once the requests are answered.
func TestAdopterProperty(t *testing.T) {
	RegisterTestingT(t)
	const highest = 6
	accepted := make(map[uint64]config.Encoded)
	for n := uint64(1); n <= highest; n++ {
		inv := withTeams(sampleInventory(), int(n))
		inv.Upstreams[0].Slots = int(n)
		accepted[n] = encode(inv, n)
	}
	rapid.Check(t, func(t *rapid.T) {
		d := &delivery{t: t, accepted: accepted, now: time.Unix(1000, 0)}
		d.adopter = config.NewAdopter(config.AdopterOptions{HasPlatform: rapid.Bool().Draw(t, "platform")})
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			d.random(highest)
		}
		d.step(config.PeerGeneration{Peer: "last", Generation: highest})
		for range 20 {
			wake, ok := d.adopter.NextWake()
			if !ok {
				break
			}
			d.now = wake
			d.answer(d.step(config.Tick{}))
		}
		if d.adopter.Generation() != highest {
			t.Fatalf("ended at generation %d", d.adopter.Generation())
		}
	})
}

type delivery struct {
	t        *rapid.T
	adopter  *config.Adopter
	accepted map[uint64]config.Encoded
	now      time.Time
}

func (d *delivery) random(highest uint64) {
	e := d.accepted[rapid.Uint64Range(1, highest).Draw(d.t, "generation")]
	peer := fleet.NodeID(fmt.Sprint("peer-", rapid.IntRange(1, 3).Draw(d.t, "peer")))
	shard := rapid.SampledFrom(e.Shards).Draw(d.t, "shard")
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(d.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 6).Draw(d.t, "event") {
	case 0:
		d.step(config.HeadReceived{Head: e.Head})
	case 1:
		d.step(config.HeadReceived{Head: e.Head, From: peer, Shards: []config.Shard{shard}})
	case 2:
		d.step(config.ShardReceived{Shard: shard})
	case 3:
		d.step(config.ShardReceived{Shard: config.Shard{Hash: shard.Hash, Data: []byte("other")}})
	case 4:
		d.step(config.PeerLost{Peer: peer})
	case 5:
		d.answer(d.step(config.Tick{}))
	case 6:
		d.step(config.HeadReceived{Head: e.Head, From: peer, Shards: e.Shards})
	}
}

// step checks the invariants at each event.
func (d *delivery) step(event config.Event) []config.Action {
	before := d.adopter.Generation()
	actions := d.adopter.Step(d.now, event)
	after := d.adopter.Generation()
	if after < before {
		d.t.Fatalf("went back from %d to %d", before, after)
	}
	for _, action := range actions {
		adopt, ok := action.(config.Adopt)
		if !ok {
			continue
		}
		if adopt.Snapshot.Generation <= before || adopt.Snapshot.Inventory.Upstreams[0].Slots != int(adopt.Snapshot.Generation) {
			d.t.Fatalf("adopted %d with the content of %d", adopt.Snapshot.Generation, adopt.Snapshot.Inventory.Upstreams[0].Slots)
		}
	}
	return actions
}

// answer serves requests to neighbours, all of which hold the highest.
func (d *delivery) answer(actions []config.Action) {
	for _, action := range actions {
		if request, ok := action.(config.RequestFromPeer); ok {
			e := d.accepted[uint64(len(d.accepted))].Without(request.Have)
			d.step(config.HeadReceived{Head: e.Head, Shards: e.Shards, From: request.Peer})
		}
	}
}

// BenchmarkAdopt measures one change among 30000 teams, and the heap that a
// held configuration takes.
func BenchmarkAdopt(b *testing.B) {
	RegisterTestingT(b)
	inv := withTeams(sampleInventory(), 30000)
	adopter := config.NewAdopter(config.AdopterOptions{})
	var bytes int
	for n := uint64(1); b.Loop(); n++ {
		b.StopTimer()
		inv.Upstreams[0].Slots = 1 + int(n%1000)
		e := encode(inv, n).Without(adopter.Encoded().Hashes())
		bytes = len(e.Head)
		for _, shard := range e.Shards {
			bytes += len(shard.Data)
		}
		b.StartTimer()
		adopter.Step(time.Unix(1000, 0), config.HeadReceived{Head: e.Head, Shards: e.Shards, From: "a"})
	}
	b.ReportMetric(float64(bytes), "wire-B/change")
	held := heapBytes()
	runtime.KeepAlive(adopter)
	adopter = nil
	b.ReportMetric(float64(held-heapBytes()), "held-B")
	runtime.KeepAlive(inv)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
