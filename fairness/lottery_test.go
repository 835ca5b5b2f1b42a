package fairness_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Lottery", func() {
	accounts := map[fleet.TeamID]float64{"a": 0, "b": 50, "c": 90, "d": 500}
	weights := map[fleet.TeamID]float64{"a": 1, "b": 2, "c": 1, "d": 1}

	first := func(l *fairness.Lottery, pendingCost float64) fleet.TeamID {
		var candidates []fairness.Candidate
		for team, account := range accounts {
			candidates = append(candidates, fairness.Candidate{Account: account, Weight: weights[team]})
		}
		l.Prepare(candidates, pendingCost)
		best := fleet.TeamID("")
		for team, account := range accounts {
			score := l.Score(team, account, weights[team])
			if best == "" || score < l.Score(best, accounts[best], weights[best]) {
				best = team
			}
		}
		return best
	}

	It("draws each team with a probability proportional to what it is owed", func() {
		// The water level is 100: the deficits are 100 for a, 2*50 for b, 10 for c and
		// 0 for d.
		const draws, pendingCost, owed = 20000, 210, 210.0
		counts := map[fleet.TeamID]float64{}
		l := fairness.NewLottery("s")
		for range draws {
			counts[first(l, pendingCost)]++
		}
		Expect(counts["a"] / draws).To(BeNumerically("~", 100/owed, 0.02))
		Expect(counts["b"] / draws).To(BeNumerically("~", 100/owed, 0.02))
		Expect(counts["c"] / draws).To(BeNumerically("~", 10/owed, 0.02))
		Expect(counts["d"]).To(BeZero())
	})

	It("draws the least account when the pending cost does not reach the next one", func() {
		l := fairness.NewLottery("s")
		for range 100 {
			Expect(first(l, 50)).To(BeEquivalentTo("a"))
		}
	})

	It("repeats its sequence for the same sidecar and differs between sidecars", func() {
		sequence := func(self fleet.NodeID) (drawn []fleet.TeamID) {
			l := fairness.NewLottery(self)
			for range 50 {
				drawn = append(drawn, first(l, 210))
			}
			return drawn
		}
		Expect(sequence("s")).To(Equal(sequence("s")))
		Expect(sequence("s")).NotTo(Equal(sequence("t")))
	})

	It("ranks every team below the level ahead of every other", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			values := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "accounts")
			pendingCost := rapid.Float64Range(1, 5000).Draw(t, "need")
			candidates := make([]fairness.Candidate, len(values))
			for i, v := range values {
				candidates[i] = fairness.Candidate{Account: v, Weight: 1}
			}
			l := fairness.NewLottery("s")
			l.Prepare(candidates, pendingCost)
			lowest, filled := 0.0, 0.0
			for i, v := range values {
				score := l.Score(fleet.TeamID(fmt.Sprint(i)), v, 1)
				lowest = min(lowest, score)
				if score < 0 {
					filled++
				}
			}
			if lowest >= 0 || filled == 0 {
				t.Fatalf("no team is below the level: accounts %v, pending cost %v", values, pendingCost)
			}
		})
	})
})
