package fairness_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fairness"
)

var _ = Describe("Ledger", func() {
	var l *fairness.Ledger
	BeforeEach(func() { l = fairness.NewLedger(fairness.LedgerConfig{Estimate: 10}) })

	run := func(id uint64, cost float64) {
		l.Begin(id, "a", 0, epoch)
		l.Settle(id, cost, epoch)
	}

	It("charges the estimate, then the larger streamed cost, then the actual cost", func() {
		l.SetWeight("a", 2)
		l.Begin(1, "a", 0, epoch)
		l.Begin(1, "a", 0, epoch)
		Expect(l.Account("a")).To(Equal(5.0))
		l.Accrue(1, 4)
		Expect(l.Account("a")).To(Equal(5.0))
		l.Accrue(1, 30)
		l.SetWeight("a", 1)
		Expect(l.Account("a")).To(Equal(15.0))
		l.Settle(1, 20, epoch)
		l.Settle(1, 90, epoch)
		l.Accrue(7, 90)
		Expect(l.Account("a")).To(Equal(10.0))
	})

	It("estimates by team, then by service, and gives a hint little weight", func() {
		run(1, 40)
		before := l.Account("a")
		l.Begin(2, "a", 1e9, epoch)
		Expect(l.Account("a") - before).To(BeNumerically("~", 40+0.1*120, epsilon))
		l.SetWaiting("b", true, epoch)
		before = l.Account("b")
		l.Begin(3, "b", 0, epoch)
		Expect(l.Account("b") - before).To(Equal(40.0))
	})

	It("ignores negative and non-finite costs", func() {
		for i, cost := range []float64{-1, math.NaN(), math.Inf(1)} {
			run(uint64(i), cost)
			l.Accrue(uint64(i), cost)
		}
		Expect(l.Account("a")).To(Equal(30.0))
	})

	It("reverts the charge of a grant that did not run", func() {
		l.Begin(1, "a", 0, epoch)
		l.Release(1, epoch)
		Expect(l.Account("a")).To(BeZero())
	})

	It("gives a new team no credit over one that was served alone", func() {
		run(1, 500)
		Expect(l.VirtualTime()).To(Equal(500.0))
		Expect(l.Account("b")).To(Equal(500.0))
	})

	It("lifts a returning team until its keeper answers, ignoring older answers", func() {
		l.SetWaiting("b", true, epoch)
		l.Begin(1, "b", 0, epoch)
		l.Settle(1, 10, epoch)
		l.SetWaiting("b", false, epoch)
		older, ok := l.Report(epoch)
		Expect(ok).To(BeTrue())
		run(2, 500)
		l.SetWaiting("b", true, after(time.Minute))
		Expect(l.Account("b")).To(Equal(510.0))
		total := []fairness.TeamTotal{{Team: "b", RegionTotal: 10, FleetTotal: 70}}
		l.ApplyTotals(fairness.Totals{ReportSeq: older.Seq, Keeper: 1, Teams: total})
		Expect(l.Account("b")).To(Equal(510.0))
		newer, _ := l.Report(after(time.Minute))
		Expect(newer.Teams).To(ContainElement(HaveField("Echo.Stale", true)))
		l.ApplyTotals(fairness.Totals{ReportSeq: newer.Seq, Keeper: 1, Teams: total})
		Expect(l.Account("b")).To(Equal(70.0), "it is backlogged elsewhere and its account is behind")
	})

	It("adds its own charges that a total does not include", func() {
		l.Begin(1, "a", 0, epoch)
		r, _ := l.Report(epoch)
		l.Begin(2, "a", 0, epoch)
		total := []fairness.TeamTotal{{Team: "a", RegionTotal: 60, FleetTotal: 90, Lift: 5}}
		l.ApplyTotals(fairness.Totals{ReportSeq: r.Seq, Keeper: 1, Teams: total})
		Expect(l.Account("a")).To(Equal(105.0))
		l.ApplyTotals(fairness.Totals{ReportSeq: r.Seq, Keeper: 1, Teams: total})
		Expect(l.Account("a")).To(Equal(105.0))
	})

	It("repeats unconfirmed reports and removes idle teams", func() {
		run(1, 10)
		_, ok := l.Report(epoch)
		Expect(ok).To(BeTrue())
		_, ok = l.Report(after(time.Second / 2))
		Expect(ok).To(BeFalse())
		again, ok := l.Report(after(time.Second))
		Expect(ok).To(BeTrue())
		total := []fairness.TeamTotal{{Team: "a", RegionTotal: 10, FleetTotal: 10}}
		l.ApplyTotals(fairness.Totals{ReportSeq: again.Seq, Keeper: 1, Teams: total})
		_, ok = l.Report(after(3 * time.Second))
		Expect(ok).To(BeFalse())
		l.Report(after(time.Hour))
		Expect(l.Teams()).To(BeZero())
	})

	It("removes unconfirmed teams while no keeper answers", func() {
		run(1, 10)
		l.Report(after(time.Hour))
		l.Report(after(2 * time.Hour))
		Expect(l.Teams()).To(BeZero())
	})
})
