package placement_test

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/placement"
)

// TestPartsLargerThanTheCacheAreNotHeld guards against sums of tokens that overflow or become
// negative, after which a cache is never full, and against one impossible part that displaces
// all others.
func TestPartsLargerThanTheCacheAreNotHeld(t *testing.T) {
	for _, tokens := range []int{101, 1 << 40, math.MaxInt, -1, math.MinInt} {
		g := NewWithT(t)
		c := placement.NewCache(100)
		c.Add(placement.Prompt{{ID: 1, Tokens: 40}})
		c.Restore([]placement.Part{{ID: 2, Tokens: tokens}})
		g.Expect(c.Tokens()).To(Equal(40), "restored %d", tokens)
		c.Add(placement.Prompt{{ID: 1, Tokens: 40}, {ID: 3, Tokens: tokens}, {ID: 4, Tokens: 5}})
		g.Expect(c.Tokens()).To(Equal(40), "added %d", tokens)
		g.Expect(c.CachedTokens(placement.Prompt{{ID: 1, Tokens: 40}, {ID: 4, Tokens: 5}})).To(Equal(40))
	}
}
