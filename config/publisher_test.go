package config_test

import (
	"context"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/platform"
)

var _ = Describe("Split and Join", func() {
	It("change one shard when one of many teams changes", func() {
		inv := withTeams(sampleInventory(), 3000)
		_, before, err := config.Split(inv)
		Expect(err).NotTo(HaveOccurred())
		inv.Teams[1500].KeyHashes = nil
		head, after, err := config.Split(inv)
		Expect(err).NotTo(HaveOccurred())
		previous := byHash(before)
		var changed int
		for _, shard := range after {
			Expect(len(shard.Data)).To(BeNumerically("<=", 32<<10))
			if _, ok := previous[shard.Hash]; !ok {
				changed++
			}
		}
		Expect(changed).To(Equal(1))
		joined, err := config.Join(head, byHash(after))
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Diff(inv, joined)).To(BeEmpty())
	})

	It("reject a shard that does not match its hash or has unknown fields", func() {
		head, shards, err := config.Split(sampleInventory())
		Expect(err).NotTo(HaveOccurred())
		broken := byHash(shards)
		broken[head.Shards[0]] = []byte("{}")
		_, err = config.Join(head, broken)
		Expect(err).To(MatchError(config.ErrCorrupt))
		newer := []byte(`{"rules":{"a_newer_rule":1}}`)
		_, err = config.Join(config.Head{Shards: []config.Hash{config.HashOf(newer)}}, map[config.Hash][]byte{config.HashOf(newer): newer})
		Expect(err).To(MatchError(config.ErrCorrupt))
	})
})

var _ = Describe("Publisher", func() {
	ctx := context.Background()
	var (
		store     *memoryStore
		publisher *config.Publisher
		first     config.Head
	)

	BeforeEach(func() {
		store = newMemoryStore()
		publisher = config.NewPublisher(store, func() time.Time { return store.now })
		var err error
		first, err = publisher.Apply(ctx, config.Proposal{Inventory: sampleInventory(), Author: "ada"})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Generation).To(BeEquivalentTo(1))
	})

	// proposal changes the slots of the first upstream.
	proposal := func(slots int, change string) config.Proposal {
		inv := sampleInventory()
		inv.Upstreams[0].Slots = slots
		return config.Proposal{Inventory: inv, Base: 1, Author: "bob", ChangeID: change}
	}
	slotsInForce := func() int {
		_, inv, err := publisher.Current(ctx)
		Expect(err).NotTo(HaveOccurred())
		return inv.Upstreams[0].Slots
	}

	It("accepts a change, and reports it in a dry run without accepting it", func() {
		changes, err := publisher.DryRun(ctx, proposal(9, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ConsistOf(config.Change{Section: config.SectionUpstreams, ID: "up-1", Kind: config.Modified}))
		Expect(slotsInForce()).To(Equal(4))
		head, err := publisher.Apply(ctx, proposal(9, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(9))
	})

	It("rejects an invalid proposal without writing anything", func() {
		invalid := proposal(9, "")
		invalid.Inventory.Upstreams[0].Service = "chess"
		version := store.version
		_, err := publisher.Apply(ctx, invalid)
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(store.version).To(Equal(version))
	})

	It("rejects home regions, which routers would ignore", func() {
		withRegions := proposal(9, "")
		withRegions.Inventory.Teams[0].Regions = []fleet.RegionID{"noord"}
		_, err := publisher.Apply(ctx, withRegions)
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(err).To(MatchError(ContainSubstring("teams[0].regions: expected no home regions")))
		Expect(slotsInForce()).To(Equal(4))
	})

	It("reports the changes of a concurrent proposal that was accepted first", func() {
		other := config.NewPublisher(store, func() time.Time { return store.now })
		store.beforePut = func(key string) error {
			if key == config.HeadKey {
				store.beforePut = nil
				_, err := other.Apply(ctx, proposal(5, "rival"))
				Expect(err).NotTo(HaveOccurred())
			}
			return nil
		}
		_, err := publisher.Apply(ctx, proposal(9, "mine"))
		var conflict *config.ConflictError
		Expect(err).To(MatchError(config.ErrConflict))
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Current).To(BeEquivalentTo(2))
		Expect(conflict.Changes).To(ConsistOf(config.Change{Section: config.SectionUpstreams, ID: "up-1", Kind: config.Modified}))
		Expect(slotsInForce()).To(Equal(5))
	})

	// failHeadWrite makes the next write of the head fail with an unknown outcome, after
	// calling beforeFailing unless it is nil.
	failHeadWrite := func(hook *func(string) error, beforeFailing func()) {
		*hook = func(key string) error {
			if key != config.HeadKey {
				return nil
			}
			*hook = nil
			if beforeFailing != nil {
				beforeFailing()
			}
			return platform.ErrOutcomeUnknown
		}
	}

	It("resolves an unknown outcome if the update was applied", func() {
		failHeadWrite(&store.afterPut, nil)
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(9))
	})

	It("resolves an unknown outcome if the update was not applied", func() {
		failHeadWrite(&store.beforePut, nil)
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
	})

	It("resolves an unknown outcome if another change has superseded the update", func() {
		other := config.NewPublisher(store, func() time.Time { return store.now })
		later := proposal(5, "rival")
		later.Base = 2
		failHeadWrite(&store.afterPut, func() {
			store.mu.Unlock()
			defer store.mu.Lock()
			_, err := other.Apply(ctx, later)
			Expect(err).NotTo(HaveOccurred())
		})
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(5))

		By("accepting a repeated proposal only once")
		again, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(5))
	})

	It("returns ErrNotAccepted if the platform fails before the acceptance", func() {
		store.beforePut = func(string) error { return platform.ErrUnavailable }
		_, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).To(MatchError(config.ErrNotAccepted))
		store.beforePut = nil
		Expect(slotsInForce()).To(Equal(4))
	})

	It("deletes old shards, but none that is in force, in the history or recent", func() {
		for generation := uint64(1); generation < 70; generation++ {
			next := proposal(int(generation)+10, "")
			next.Base = generation
			_, err := publisher.Apply(ctx, next)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(publisher.Collect(ctx)).To(Succeed())
		withRecent := len(store.objects)
		store.now = store.now.Add(2 * time.Hour)
		Expect(publisher.Collect(ctx)).To(Succeed())
		Expect(len(store.objects)).To(BeNumerically("<", withRecent))
		Expect(slotsInForce()).To(Equal(79))
		var history int
		for key := range store.objects {
			if strings.HasPrefix(key, config.HistoryPrefix) {
				history++
			}
		}
		Expect(history).To(Equal(64))
	})
})
