package fairness_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Regions", func() {
	zuid := func(keeper fleet.Incarnation, seq uint64, total float64) fairness.RegionSums {
		teams := []fairness.RegionSum{{Team: "a", Total: total, Active: true}}
		return fairness.RegionSums{Region: "zuid", Keeper: keeper, Seq: seq, Teams: teams}
	}

	It("keeps the last totals during a partition and catches up afterwards", func() {
		k := newKeeper(1)
		peer := fairness.NewKeeper(fairness.KeeperConfig{}, "zuid", 2, epoch)
		peer.ApplyReport("s9", 1, entry(1, 0, 40), epoch)
		sums, _ := peer.RegionSums(epoch)
		k.ApplyReport("s1", 1, entry(1, 0, 10), epoch)
		k.MergeRegion(sums, epoch)
		k.MergeRegion(sums, epoch)
		Expect(account(k, "a")).To(Equal(50.0))
		peer.ApplyReport("s9", 1, entry(2, 0, 70), after(time.Second))
		k.ApplyReport("s1", 1, entry(2, 0, 15), after(time.Minute))
		Expect(account(k, "a")).To(Equal(55.0))
		_, ok := peer.RegionSums(after(time.Minute))
		Expect(ok).To(BeFalse())
		peer.ResendAll()
		sums, _ = peer.RegionSums(after(time.Minute))
		k.MergeRegion(sums, after(time.Minute))
		Expect(account(k, "a")).To(Equal(85.0))
	})

	It("takes the newest total of a keeper, and a smaller total of another keeper only after the TTL", func() {
		k := newKeeper(1)
		k.MergeRegion(zuid(5, 2, 40), epoch)
		k.MergeRegion(zuid(5, 1, 90), epoch)
		k.MergeRegion(zuid(6, 1, 3), after(time.Second))
		Expect(account(k, "a")).To(Equal(40.0))
		k.MergeRegion(zuid(5, 3, 38), after(time.Second))
		Expect(account(k, "a")).To(Equal(38.0))
		k.MergeRegion(zuid(6, 2, 3), after(time.Minute))
		Expect(account(k, "a")).To(Equal(3.0))
	})

	It("restores the totals of other regions from echoes after starting empty", func() {
		k := newKeeper(1)
		echo := fairness.Echo{Keeper: 9, RegionTotal: 20, FleetTotal: 1020, ChargedIncluded: 20}
		k.ApplyReport("s1", 1, echoed(7, 25, echo), epoch)
		Expect(account(k, "a")).To(Equal(1025.0))
		k.MergeRegion(zuid(5, 1, 1001), epoch)
		Expect(account(k, "a")).To(Equal(1026.0))
	})

	It("does not lift a team that is backlogged in another region", func() {
		k := newKeeper(1)
		k.MergeRegion(zuid(5, 1, 40), epoch)
		k.ApplyReport("s1", 1, entry(1, 900, 1), epoch)
		Expect(account(k, "a")).To(Equal(41.0))
	})
})

var _ = Describe("Assign", func() {
	It("is independent of the order and of the removal of other routers", func() {
		routers := []fleet.NodeID{"r1", "r2", "r3", "r4"}
		teams := map[fleet.NodeID]int{}
		for i := range 400 {
			team := fleet.TeamID(rune('a' + i))
			keeper, ok := fairness.AssignKeeper("chat", team, routers)
			Expect(ok).To(BeTrue())
			teams[keeper]++
			fewer := slices.DeleteFunc(slices.Clone(routers), func(r fleet.NodeID) bool { return r != keeper && r != "r2" })
			slices.Reverse(fewer)
			again, _ := fairness.AssignKeeper("chat", team, fewer)
			Expect(again).To(Equal(keeper))
		}
		Expect(teams).To(HaveLen(4))
		Expect(teams).To(HaveEach(BeNumerically("~", 100, 30)))
		_, ok := fairness.AssignKeeper("chat", "a", nil)
		Expect(ok).To(BeFalse())
	})
})
