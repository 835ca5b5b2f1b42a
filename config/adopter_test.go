package config_test

import (
	"fmt"
	"runtime"
	"strings"
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
	// received returns the event for a configuration with all its shards.
	received := func(e config.Encoded, from fleet.NodeID) config.HeadReceived {
		return config.HeadReceived{Head: e.Head, Shards: e.Shards, From: from}
	}

	It("fetches the shards of the platform's head and adopts the configuration", func() {
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

		By("fetching only the changed shards of the next generation")
		next := generation(2)
		actions = adopter.Step(now, config.HeadReceived{Head: next.Head})
		Expect(actions[0].(config.FetchShards).Hashes).To(HaveLen(1))
		actions = adopter.Step(now, received(next.Without(e.Hashes()), "router-2"))
		Expect(actions).To(HaveLen(1))
		Expect(adopter.Generation()).To(BeEquivalentTo(2))
	})

	It("requests the configuration from a peer with a newer generation, and from another if the first does not respond", func() {
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

	It("never returns to a lower generation, and rejects a different head of the same generation", func() {
		adopter.Step(now, received(generation(2), "a"))
		Expect(adopter.Step(now, received(generation(1), "b"))).To(BeEmpty())
		other := encode(sampleInventory(), 2)
		actions := adopter.Step(now, received(other, "b"))
		Expect(actions).To(HaveLen(1))
		Expect(actions[0].(config.Reject).Err).To(MatchError(config.ErrCorrupt))
		Expect(adopter.Encoded()).To(Equal(generation(2)))
	})

	It("rejects a shard that does not match its hash", func() {
		e := generation(1)
		e.Shards[0].Data = []byte("{}")
		actions := adopter.Step(now, received(e, "a"))
		Expect(actions[0].(config.Reject).Err).To(MatchError(config.ErrCorrupt))
		Expect(adopter.Generation()).To(BeZero())
	})

	// Guards against a router that ends by itself on a malformed key hash of another process.
	DescribeTable("rejects a key hash that is no SHA-256 hash and keeps its configuration",
		func(keyHash string) {
			adopter.Step(now, received(generation(1), "a"))
			inv := sampleInventory()
			inv.Teams[0].KeyHashes = []string{keyHash}
			actions := adopter.Step(now, received(encode(inv, 2), "b"))
			Expect(actions).NotTo(BeEmpty())
			Expect(actions[0].(config.Reject).Err).To(MatchError(config.ErrInvalid))
			Expect(adopter.Encoded()).To(Equal(generation(1)))
		},
		Entry("a byte too long", strings.Repeat("a", 66)),
		Entry("much too long", strings.Repeat("0", 4096)),
		Entry("too long and not hexadecimal behind the hash", strings.Repeat("0", 64)+"xyz"),
		Entry("a byte too short", strings.Repeat("a", 62)),
		Entry("half a byte too long", strings.Repeat("a", 65)),
		Entry("empty", ""),
		Entry("not hexadecimal", strings.Repeat("g", 64)),
	)

	It("is behind when a known generation is not adopted in time, and catches up when it is", func() {
		adopter.Step(now, received(generation(1), "a"))
		_, ok := adopter.NextWake()
		Expect(ok).To(BeFalse())
		adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: 2})
		adopter.Step(now, config.PeerLost{Peer: "a"})
		now = now.Add(config.DefaultBehindTimeout - 1)
		Expect(adopter.Step(now, config.Tick{})).To(BeEmpty())
		now = now.Add(1)
		Expect(adopter.Step(now, config.Tick{})).To(ConsistOf(config.Behind{Held: 1, Known: 2}))
		actions := adopter.Step(now, received(generation(2), "b"))
		Expect(actions).To(ContainElement(config.CaughtUp{}))
	})

	// Guards against a process that refuses all work for good because a corrupted peer names a
	// generation that nobody holds.
	It("does not stay behind a generation that a peer names and does not hold", func() {
		adopter.Step(now, received(generation(1), "a"))
		for range 100 {
			actions := adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: 1 << 60})
			for _, action := range actions {
				Expect(action).NotTo(BeAssignableToTypeOf(config.Behind{}))
				if request, ok := action.(config.RequestFromPeer); ok {
					Expect(request.Peer).To(BeEquivalentTo("a"))
					adopter.Step(now, received(generation(1), "a"))
				}
			}
			now = now.Add(config.DefaultRetryInterval)
		}
		By("still being behind what another peer names, too")
		adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: 1 << 60})
		adopter.Step(now, config.PeerGeneration{Peer: "b", Generation: 2})
		adopter.Step(now, received(generation(1), "a"))
		now = now.Add(config.DefaultBehindTimeout)
		Expect(adopter.Step(now, config.Tick{})).To(ContainElement(config.Behind{Held: 1, Known: 2}))
	})

	It("is not behind while it keeps up with continuous changes", func() {
		for n := uint64(1); n < 30; n++ {
			adopter.Step(now, config.PeerGeneration{Peer: "a", Generation: n + 1})
			now = now.Add(config.DefaultBehindTimeout / 2)
			for _, action := range adopter.Step(now, received(generation(n), "a")) {
				Expect(action).NotTo(BeAssignableToTypeOf(config.Behind{}))
			}
		}
	})
})

// TestAdopterProperty delivers heads and shards of several generations in random order,
// with losses and duplicates, from random peers. The generation must never decrease, the
// configuration held must be the one accepted under its generation, and the adopter must
// reach the highest generation once its requests are served.
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
		d := &adopterDriver{t: t, accepted: accepted, now: time.Unix(1000, 0)}
		d.adopter = config.NewAdopter(config.AdopterOptions{HasPlatform: rapid.Bool().Draw(t, "platform")})
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			d.randomEvent(highest)
		}
		d.step(config.PeerGeneration{Peer: "last", Generation: highest})
		for range 20 {
			wake, ok := d.adopter.NextWake()
			if !ok {
				break
			}
			d.now = wake
			d.serve(d.step(config.Tick{}))
		}
		if d.adopter.Generation() != highest {
			t.Fatalf("the adopter ended at generation %d", d.adopter.Generation())
		}
	})
}

// adopterDriver passes events to an adopter and checks its invariants.
type adopterDriver struct {
	t        *rapid.T
	adopter  *config.Adopter
	accepted map[uint64]config.Encoded
	now      time.Time
}

func (d *adopterDriver) randomEvent(highest uint64) {
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
		d.serve(d.step(config.Tick{}))
	case 6:
		d.step(config.HeadReceived{Head: e.Head, From: peer, Shards: e.Shards})
	}
}

// step passes an event to the adopter and checks the invariants.
func (d *adopterDriver) step(event config.Event) []config.Action {
	before := d.adopter.Generation()
	actions := d.adopter.Step(d.now, event)
	after := d.adopter.Generation()
	if after < before {
		d.t.Fatalf("the generation decreased from %d to %d", before, after)
	}
	for _, action := range actions {
		adopt, ok := action.(config.Adopt)
		if !ok {
			continue
		}
		if adopt.Snapshot.Generation <= before || adopt.Snapshot.Inventory.Upstreams[0].Slots != int(adopt.Snapshot.Generation) {
			d.t.Fatalf("adopted generation %d with the content of generation %d", adopt.Snapshot.Generation, adopt.Snapshot.Inventory.Upstreams[0].Slots)
		}
	}
	return actions
}

// serve responds to requests to peers, all of which hold the highest generation.
func (d *adopterDriver) serve(actions []config.Action) {
	for _, action := range actions {
		if request, ok := action.(config.RequestFromPeer); ok {
			e := d.accepted[uint64(len(d.accepted))].Without(request.Have)
			d.step(config.HeadReceived{Head: e.Head, Shards: e.Shards, From: request.Peer})
		}
	}
}

// BenchmarkAdopt measures the adoption of a single change to a configuration with 30000
// teams, and the heap size of the adopted configuration.
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
