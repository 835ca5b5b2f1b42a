package config_test

import (
	"context"
	"errors"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/platform"
)

var _ = Describe("Shards", func() {
	It("alter one shard for one team among many", func() {
		inv := withTeams(sampleInventory(), 3000)
		_, before, err := config.Split(inv)
		Expect(err).NotTo(HaveOccurred())
		inv.Teams[1500].KeyHashes = nil
		head, after, err := config.Split(inv)
		Expect(err).NotTo(HaveOccurred())
		old := byHash(before)
		var fresh int
		for _, shard := range after {
			Expect(len(shard.Data)).To(BeNumerically("<=", 32<<10))
			if _, ok := old[shard.Hash]; !ok {
				fresh++
			}
		}
		Expect(fresh).To(Equal(1))
		joined, err := config.Join(head, byHash(after))
		Expect(err).NotTo(HaveOccurred())
		Expect(config.Diff(inv, joined)).To(BeEmpty())
	})

	It("refuse other content and unknown fields", func() {
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

	// proposal changes slots of the first upstream.
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

	It("accepts a change and shows it in a dry run before", func() {
		changes, err := publisher.DryRun(ctx, proposal(9, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(changes).To(ConsistOf(config.Change{Section: config.SectionUpstreams, ID: "up-1", Kind: config.Modified}))
		Expect(slotsInForce()).To(Equal(4))
		head, err := publisher.Apply(ctx, proposal(9, ""))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(9))
	})

	It("refuses an invalid proposal and changes nothing", func() {
		bad := proposal(9, "")
		bad.Inventory.Upstreams[0].Service = "chess"
		version := store.version
		_, err := publisher.Apply(ctx, bad)
		Expect(err).To(MatchError(config.ErrInvalid))
		Expect(store.version).To(Equal(version))
	})

	It("tells the loser of a race what was changed", func() {
		rival := config.NewPublisher(store, func() time.Time { return store.now })
		store.beforePut = func(key string) error {
			if key == config.HeadKey {
				store.beforePut = nil
				_, err := rival.Apply(ctx, proposal(5, "rival"))
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

	// onHead fails the next write of the head with an unknown outcome.
	onHead := func(hook *func(string) error, also func()) {
		*hook = func(key string) error {
			if key != config.HeadKey {
				return nil
			}
			*hook = nil
			if also != nil {
				also()
			}
			return platform.ErrOutcomeUnknown
		}
	}

	It("settles a lost answer of an update that was applied", func() {
		onHead(&store.afterPut, nil)
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(9))
	})

	It("settles a lost answer of an update that was not applied", func() {
		onHead(&store.beforePut, nil)
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
	})

	It("settles a lost answer when another change came on top", func() {
		rival := config.NewPublisher(store, func() time.Time { return store.now })
		later := proposal(5, "rival")
		later.Base = 2
		onHead(&store.afterPut, func() {
			store.mu.Unlock()
			defer store.mu.Lock()
			_, err := rival.Apply(ctx, later)
			Expect(err).NotTo(HaveOccurred())
		})
		head, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(head.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(5))

		By("accepting a repeated call once only")
		again, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again.Generation).To(BeEquivalentTo(2))
		Expect(slotsInForce()).To(Equal(5))
	})

	It("does not claim acceptance when the platform fails before it", func() {
		store.beforePut = func(string) error { return platform.ErrUnavailable }
		_, err := publisher.Apply(ctx, proposal(9, "mine"))
		Expect(err).To(MatchError(config.ErrNotAccepted))
		store.beforePut = nil
		Expect(slotsInForce()).To(Equal(4))
	})

	It("collects old shards but none that is in force, kept or young", func() {
		for generation := uint64(1); generation < 70; generation++ {
			next := proposal(int(generation)+10, "")
			next.Base = generation
			_, err := publisher.Apply(ctx, next)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(publisher.Collect(ctx)).To(Succeed())
		young := len(store.objects)
		store.now = store.now.Add(2 * time.Hour)
		Expect(publisher.Collect(ctx)).To(Succeed())
		Expect(len(store.objects)).To(BeNumerically("<", young))
		Expect(slotsInForce()).To(Equal(79))
		var kept int
		for key := range store.objects {
			if strings.HasPrefix(key, config.HistoryPrefix) {
				kept++
			}
		}
		Expect(kept).To(Equal(64))
	})
})
