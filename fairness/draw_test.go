package fairness_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Draw", func() {
	accounts := map[fleet.TeamID]float64{"a": 0, "b": 50, "c": 90, "d": 500}
	weights := map[fleet.TeamID]float64{"a": 1, "b": 2, "c": 1, "d": 1}

	first := func(d *fairness.Lottery, need float64) fleet.TeamID {
		var shares []fairness.Candidate
		for team, account := range accounts {
			shares = append(shares, fairness.Candidate{Account: account, Weight: weights[team]})
		}
		d.Prepare(shares, need)
		best := fleet.TeamID("")
		for team, account := range accounts {
			score := d.Score(team, account, weights[team])
			if best == "" || score < d.Score(best, accounts[best], weights[best]) {
				best = team
			}
		}
		return best
	}

	It("draws a team with the odds of what it is owed", func() {
		// The level is 100: a lacks 100, b twice 50, c 10 and d nothing.
		const draws, need, owed = 20000, 210, 210.0
		counts := map[fleet.TeamID]float64{}
		d := fairness.NewLottery("s")
		for range draws {
			counts[first(d, need)]++
		}
		Expect(counts["a"] / draws).To(BeNumerically("~", 100/owed, 0.02))
		Expect(counts["b"] / draws).To(BeNumerically("~", 100/owed, 0.02))
		Expect(counts["c"] / draws).To(BeNumerically("~", 10/owed, 0.02))
		Expect(counts["d"]).To(BeZero())
	})

	It("takes the least account when the need is below its distance to the next", func() {
		d := fairness.NewLottery("s")
		for range 100 {
			Expect(first(d, 50)).To(BeEquivalentTo("a"))
		}
	})

	It("is the same for the same sidecar, and differs between sidecars", func() {
		sequence := func(self fleet.NodeID) (drawn []fleet.TeamID) {
			d := fairness.NewLottery(self)
			for range 50 {
				drawn = append(drawn, first(d, 210))
			}
			return drawn
		}
		Expect(sequence("s")).To(Equal(sequence("s")))
		Expect(sequence("s")).NotTo(Equal(sequence("t")))
	})

	It("ranks every team below the level ahead of every other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			values := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "accounts")
			need := rapid.Float64Range(1, 5000).Draw(t, "need")
			shares := make([]fairness.Candidate, len(values))
			for i, v := range values {
				shares[i] = fairness.Candidate{Account: v, Weight: 1}
			}
			d := fairness.NewLottery("s")
			d.Prepare(shares, need)
			lowest, filled := 0.0, 0.0
			for i, v := range values {
				score := d.Score(fleet.TeamID(fmt.Sprint(i)), v, 1)
				lowest = min(lowest, score)
				if score < 0 {
					filled++
				}
			}
			if lowest >= 0 || filled == 0 {
				t.Fatalf("no team is below the level: accounts %v, need %v", values, need)
			}
		})
	})
})
