package placement_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

func prompt(parts ...int) placement.Prompt {
	var p placement.Prompt
	for i, tokens := range parts {
		p = append(p, placement.Part{ID: uint64(i + 1), Tokens: tokens})
	}
	return p
}

func engines(n int) []fleet.UpstreamID {
	var ids []fleet.UpstreamID
	for i := range n {
		ids = append(ids, fleet.UpstreamID(fmt.Sprint("engine-", i)))
	}
	return ids
}

func TestCachedTokensCountsOnlyAPrefix(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewCache(10_000)
	c.Add(prompt(100, 200, 300))
	g.Expect(c.CachedTokens(prompt(100, 200, 300))).To(Equal(600))
	other := placement.Prompt{{ID: 9, Tokens: 50}, {ID: 2, Tokens: 200}}
	g.Expect(c.CachedTokens(other)).To(BeZero())
	longer := append(prompt(100, 200), placement.Part{ID: 77, Tokens: 400})
	g.Expect(c.CachedTokens(longer)).To(Equal(300))
}

func TestEvictsLeastRecentlyUsedPart(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewCache(1000)
	single := func(id uint64) placement.Prompt { return placement.Prompt{{ID: id, Tokens: 400}} }
	c.Add(single(1))
	c.Add(single(2))
	c.Add(single(1))
	c.Add(single(3))
	g.Expect(c.CachedTokens(single(1))).To(Equal(400))
	g.Expect(c.CachedTokens(single(2))).To(BeZero())
	g.Expect(c.CachedTokens(single(3))).To(Equal(400))
}

func TestEvictsRestoredPartsFirst(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewCache(1000)
	single := func(id uint64) placement.Prompt { return placement.Prompt{{ID: id, Tokens: 400}} }
	c.Add(single(1))
	c.Restore([]placement.Part{{ID: 1, Tokens: 400}, {ID: 2, Tokens: 400}, {ID: 3, Tokens: 400}})
	g.Expect(c.Tokens()).To(Equal(800), "a part that exceeds the capacity is skipped")
	g.Expect(c.CachedTokens(single(2))).To(Equal(400))
	c.Add(single(4))
	g.Expect(c.CachedTokens(single(2))).To(BeZero())
	g.Expect(c.CachedTokens(single(1))).To(Equal(400))
}

func TestHasRoomOnlyWithoutEviction(t *testing.T) {
	g := NewWithT(t)
	c := placement.NewCache(1000)
	c.Add(prompt(600))
	g.Expect(c.HasRoom(prompt(400))).To(BeTrue())
	g.Expect(c.HasRoom(prompt(401))).To(BeFalse())
}

func TestSharedTokensExcludesTheLastPart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(prompt(100, 200, 300).SharedTokens()).To(Equal(300))
	g.Expect(prompt(100, 200, 300).Tokens()).To(Equal(600))
	g.Expect(placement.Prompt(nil).SharedTokens()).To(BeZero())
	g.Expect(prompt(1, 2, 3).SharedKey()).To(Equal(prompt(1, 2, 9).SharedKey()))
}

// Removing an engine must reassign only the keys that preferred it, each to its second
// choice: any other move would lose cached parts.
func TestRemovedEngineReassignsOnlyItsKeys(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	without := slices.Delete(slices.Clone(all), 3, 4)
	moved := 0
	const keys = 6000
	for key := range uint64(keys) {
		before := placement.PreferredEngines(key, all)
		after := placement.PreferredEngines(key, without)
		if before[0] == all[3] {
			moved++
			g.Expect(after[0]).To(Equal(before[1]))
			continue
		}
		g.Expect(after[0]).To(Equal(before[0]))
	}
	g.Expect(float64(moved) / keys).To(BeNumerically("~", 1.0/12, 0.02))
}

// Changing the weight of one engine must move only keys to or from that engine, so that
// routers that disagree about it place all other keys alike.
func TestWeightOfAnEngineMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		all := engines(rapid.IntRange(2, 20).Draw(t, "engines"))
		weights := rapid.SliceOfN(rapid.Float64Range(0.2, 5), len(all), len(all)).Draw(t, "weights")
		changed := rapid.IntRange(0, len(all)-1).Draw(t, "changed")
		key := rapid.Uint64().Draw(t, "key")
		before := placement.WeightedPreferredEngines(key, all, weights)
		weights[changed] = rapid.Float64Range(0.2, 5).Draw(t, "weight")
		after := placement.WeightedPreferredEngines(key, all, weights)
		without := func(order []fleet.UpstreamID) []fleet.UpstreamID {
			return slices.DeleteFunc(order, func(id fleet.UpstreamID) bool { return id == all[changed] })
		}
		g.Expect(without(after)).To(Equal(without(before)))
	})
}

// Guards against a share of the prompts that does not follow an engine's speed, and against
// another order than the unweighted one where all weights are equal.
func TestShareOfKeysFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	all := engines(6)
	equal, uneven := []float64{3, 3, 3, 3, 3, 3}, []float64{1, 1, 1, 1, 1, 2.5}
	const keys = 6000
	preferred := 0
	for key := range uint64(keys) {
		g.Expect(placement.WeightedPreferredEngines(key, all, equal)).To(Equal(placement.PreferredEngines(key, all)))
		if placement.WeightedPreferredEngines(key, all, uneven)[0] == all[5] {
			preferred++
		}
	}
	g.Expect(float64(preferred) / keys).To(BeNumerically("~", 2.5/7.5, 0.02))
}

func TestPreferenceIsIndependentOfListOrder(t *testing.T) {
	g := NewWithT(t)
	all := engines(9)
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	g.Expect(placement.PreferredEngines(42, all)).To(Equal(placement.PreferredEngines(42, reversed)))
}

func TestShortSharedPartsAllowAnyEngine(t *testing.T) {
	g := NewWithT(t)
	g.Expect(placement.PreferredEngineCount(prompt(13_300, 3_700), 2, 12)).To(Equal(2))
	g.Expect(placement.PreferredEngineCount(prompt(350, 1_100), 2, 12)).To(Equal(12))
	g.Expect(placement.PreferredEngineCount(prompt(13_300, 3_700), 2, 1)).To(Equal(1))
}
