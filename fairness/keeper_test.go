package fairness_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Keeper", func() {
	It("sums charges despite reordered, lost and duplicated reports", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			k := newKeeper(1)
			charged := map[string]float64{}
			type message struct {
				from   string
				report fairness.Report
			}
			var sent []message
			for seq := range rapid.IntRange(1, 40).Draw(t, "reports") {
				from := rapid.SampledFrom([]string{"s1", "s2", "s3"}).Draw(t, "from")
				charged[from] = max(0, charged[from]+rapid.Float64Range(-5, 20).Draw(t, "charge"))
				sent = append(sent, message{from, entry(uint64(seq+1), 0, charged[from])})
			}
			newest := map[string]fairness.Report{}
			for _, m := range rapid.SliceOfN(rapid.SampledFrom(sent), 1, -1).Draw(t, "delivered") {
				k.ApplyReport(fleet.NodeID(m.from), 1, m.report, epoch)
				if m.report.Seq > newest[m.from].Seq {
					newest[m.from] = m.report
				}
			}
			truth := 0.0
			for _, r := range newest {
				truth += r.Teams[0].Charged
			}
			if got := account(k, "a"); math.Abs(got-truth) > epsilon {
				t.Fatalf("account %v, charged in the newest reports %v", got, truth)
			}
			truth = 0
			for from, c := range charged {
				k.ApplyReport(fleet.NodeID(from), 1, entry(1000, 0, c), epoch)
				truth += c
			}
			if got := account(k, "a"); math.Abs(got-truth) > epsilon {
				t.Fatalf("account %v, charged %v", got, truth)
			}
		})
	})

	// The bound holds only if the team is active at every reporter, so that each
	// reports again, and if each reporter has been answered since the previous
	// restart.
	It("restores its totals after a restart, to within the unconfirmed charges", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const sidecars = 3
			var now time.Time
			var ledgers [sidecars]*fairness.Ledger
			var incarnations [sidecars]fleet.Incarnation
			var charged, confirmed [sidecars]float64
			truth, unconfirmed := 0.0, 0.0
			answered := map[int]bool{}
			k := newKeeper(1)
			start := func(i int) {
				ledgers[i] = fairness.NewLedger(fairness.LedgerConfig{})
				ledgers[i].SetWaiting("a", true, epoch)
				incarnations[i]++
				unconfirmed += charged[i] - confirmed[i]
				charged[i], confirmed[i] = 0, 0
			}
			report := func(i int, answerArrives bool) {
				r, ok := ledgers[i].Report(now)
				if !ok {
					return
				}
				answer := k.ApplyReport(fleet.NodeID(fmt.Sprint(i)), incarnations[i], r, now)
				if answerArrives {
					ledgers[i].ApplyTotals(answer)
					confirmed[i] = charged[i]
					answered[i] = true
				}
			}
			for i := range sidecars {
				start(i)
			}
			for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = after(time.Duration(step) * 20 * time.Millisecond)
				i := rapid.IntRange(0, sidecars-1).Draw(t, "sidecar")
				cost := rapid.Float64Range(0, 20).Draw(t, "cost")
				truth += cost
				charged[i] += cost
				ledgers[i].Begin(uint64(step), "a", 0, now)
				ledgers[i].Settle(uint64(step), cost, now)
				restart := rapid.IntRange(0, 5).Draw(t, "restart")
				if restart == 0 && len(answered) == sidecars {
					k = newKeeper(fleet.Incarnation(step + 2))
					clear(answered)
					for j := range charged {
						unconfirmed += charged[j] - confirmed[j]
					}
				}
				if restart == 1 && len(answered) == sidecars {
					start(i)
					delete(answered, i)
				}
				report(i, rapid.Bool().Draw(t, "answer arrives"))
			}
			now = after(3 * time.Second)
			for i := range sidecars {
				report(i, false)
			}
			got, _ := k.Account("a")
			if math.Abs(got-truth) > unconfirmed+epsilon {
				t.Fatalf("account %v, charged %v, unconfirmed at restarts %v", got, truth, unconfirmed)
			}
		})
	})

	foreign := func(total, included float64) fairness.Echo {
		return fairness.Echo{Keeper: 9, RegionTotal: total, FleetTotal: total, ChargedIncluded: included}
	}

	It("counts a second reporter's echoed charges once after restoring", func() {
		k := newKeeper(2)
		k.ApplyReport("s1", 1, echoed(5, 65, foreign(100, 60)), epoch)
		k.ApplyReport("s2", 1, echoed(5, 43, foreign(100, 40)), epoch)
		Expect(account(k, "a")).To(Equal(108.0))
	})

	It("counts charges received before the first echo once, in account and total", func() {
		k := newKeeper(2)
		r := entry(1, 500, 7)
		k.ApplyReport("s2", 1, r, epoch)
		Expect(account(k, "a")).To(Equal(507.0))
		k.ApplyReport("s1", 1, echoed(5, 65, foreign(100, 60)), epoch)
		Expect(account(k, "a")).To(Equal(512.0), "the lift is reduced by the restored part")
		own := fairness.Echo{Keeper: 2, RegionTotal: 7, FleetTotal: 7, ChargedIncluded: 7, Lift: 500}
		k.ApplyReport("s2", 1, echoed(2, 7, own), epoch)
		Expect(account(k, "a")).To(Equal(512.0), "the larger lift was this keeper's own")
		sums, _ := k.RegionSums(epoch)
		Expect(sums.Teams).To(ConsistOf(fairness.RegionSum{Team: "a", Total: 112, Active: true}))
		sums, _ = k.RegionSums(after(time.Minute))
		Expect(sums.Teams).To(BeEmpty())
		k.ResendAll()
		sums, _ = k.RegionSums(after(time.Minute))
		Expect(sums.Teams).To(ConsistOf(fairness.RegionSum{Team: "a", Total: 112, Lift: 400}))
	})

	It("counts a known reporter once if it reported to another keeper in the meantime", func() {
		k := newKeeper(2)
		k.ApplyReport("s1", 1, entry(1, 0, 10), epoch)
		k.ApplyReport("s2", 1, entry(1, 0, 10), epoch)
		healed := after(time.Minute)
		By("s1 returns first: its own counter is exact")
		k.ApplyReport("s1", 1, echoed(9, 55, foreign(70, 50)), healed)
		Expect(account(k, "a")).To(Equal(65.0))
		By("s3 reported to the other keeper only, whose total has 50 of s1 and 20 of s2")
		k.ApplyReport("s3", 1, echoed(9, 5, foreign(75, 5)), healed)
		Expect(account(k, "a")).To(Equal(75.0))
		By("s2 charged 3 more; its echo names a merged keeper")
		k.ApplyReport("s2", 1, echoed(9, 23, foreign(70, 20)), healed)
		k.ApplyReport("s2", 1, echoed(10, 24, foreign(70, 20)), healed)
		Expect(account(k, "a")).To(Equal(79.0))
	})

	It("does not restore settled estimates from its own echo", func() {
		k := newKeeper(9)
		k.ApplyReport("s1", 1, entry(1, 0, 100), epoch)
		k.ApplyReport("s1", 1, entry(2, 0, 10), epoch)
		later := after(time.Minute)
		k.ApplyReport("s2", 1, echoed(1, 5, foreign(100, 5)), later)
		k.ApplyReport("s1", 1, echoed(3, 12, foreign(100, 10)), later)
		Expect(account(k, "a")).To(Equal(12.0))
	})

	It("restores a team from its own echoes when the team is assigned to it again", func() {
		k := newKeeper(9)
		k.Retain(func(fleet.TeamID) bool { return false })
		k.ApplyReport("s1", 1, echoed(3, 12, foreign(100, 10)), epoch)
		k.ApplyReport("s2", 1, echoed(3, 7, foreign(100, 7)), epoch)
		Expect(account(k, "a")).To(Equal(102.0))
	})

	It("keeps the charges of expired reporters and removes idle teams", func() {
		k := newKeeper(1)
		k.ApplyReport("s1", 1, entry(1, 0, 100), epoch)
		k.ApplyReport("s2", 1, entry(1, 0, 10), after(3*time.Minute))
		k.ApplyReport("s1", 2, entry(1, 0, 1), after(3*time.Minute))
		Expect(account(k, "a")).To(Equal(111.0))
		k.RegionSums(after(time.Hour))
		Expect(k.Teams()).To(BeZero())
	})

	It("lifts a team only if it was idle in the whole fleet", func() {
		k := newKeeper(1)
		k.ApplyReport("s1", 1, entry(1, 500, 10), epoch)
		Expect(account(k, "a")).To(Equal(510.0), "its new charges are added to the lift")
		k.ApplyReport("s1", 1, entry(2, 900, 20), after(2*time.Second))
		Expect(account(k, "a")).To(Equal(520.0), "it stayed backlogged and is owed service")
		k.ApplyReport("s2", 1, entry(1, 900, 1), after(4*time.Second))
		Expect(account(k, "a")).To(Equal(521.0), "it is backlogged elsewhere")
		k.ApplyReport("s1", 1, entry(3, 900, 20), after(time.Minute))
		Expect(account(k, "a")).To(Equal(900.0))
		fresh := foreign(300, 5)
		k.ApplyReport("s1", 1, echoed(4, 20, fresh), after(2*time.Minute))
		Expect(account(k, "a")).To(Equal(900.0))
	})

	It("does not lift a backlogged team after starting empty", func() {
		k := newKeeper(1)
		r := echoed(1, 20, foreign(300, 20))
		r.VirtualTime = 900
		k.ApplyReport("s1", 1, r, epoch)
		Expect(account(k, "a")).To(Equal(300.0))
	})

	It("bounds the credit of a frequently active team by the slowest region", func() {
		k := newKeeper(1)
		k.ApplyReport("s1", 1, entry(1, 10, 0), epoch)
		for second := 1; second <= 100; second++ {
			now := after(time.Duration(second) * time.Second)
			k.ApplyReport("s1", 1, entry(uint64(second+1), float64(1000*second), 0), now)
		}
		Expect(account(k, "a")).To(BeNumerically("~", 55000, 15000))
		k = newKeeper(1)
		for second := 1; second <= 100; second++ {
			now := after(time.Duration(second) * time.Second)
			k.MergeRegion(fairness.RegionSums{Region: "zuid", Seq: uint64(second), VirtualTime: 50}, now)
			k.ApplyReport("s1", 1, entry(uint64(second+1), float64(1000*second), 0), now)
		}
		Expect(account(k, "a")).To(Equal(1000.0), "the lift at its first report")
	})

	It("advances the virtual time to the least of the fresh reporters and never decreases it", func() {
		k := newKeeper(1)
		k.ApplyReport("s1", 1, entry(1, 0, 0), epoch)
		k.ApplyReport("s2", 1, entry(1, 50, 0), epoch)
		Expect(k.VirtualTime()).To(Equal(50.0))
		k.ApplyReport("s1", 1, entry(2, 30, 0), epoch)
		k.ApplyReport("s2", 1, entry(2, 80, 0), after(time.Second))
		Expect(k.VirtualTime()).To(Equal(50.0))
		k.ApplyReport("s2", 1, entry(3, 90, 0), after(time.Minute))
		Expect(k.VirtualTime()).To(Equal(90.0))
	})
})
