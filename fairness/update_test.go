package fairness_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Updates", func() {
	var (
		k    *fairness.Keeper
		one  *fairness.Ledger
		two  *fairness.Ledger
		now  time.Time
		next uint64
	)

	report := func(l *fairness.Ledger, name string) {
		r, ok := l.Report(now)
		Expect(ok).To(BeTrue())
		l.ApplyTotals(k.ApplyReport(fleet.NodeID("sidecar-"+name), 1, r, now))
	}
	// update delivers the keeper's updates and returns their reporters.
	update := func() (reporters []string) {
		for _, u := range k.Updates(now) {
			reporters = append(reporters, string(u.Reporter))
			if u.Reporter == "sidecar-one" {
				one.ApplyUpdate(u.Update)
				continue
			}
			two.ApplyUpdate(u.Update)
		}
		return reporters
	}
	charge := func(l *fairness.Ledger, cost float64) {
		next++
		l.Begin(next, "a", 0, now)
		l.Settle(next, cost, now)
	}

	BeforeEach(func() {
		now = epoch
		k = fairness.NewKeeper(fairness.KeeperConfig{AnswerInterval: 2 * time.Second}, "noord", 7, now)
		one = fairness.NewLedger(fairness.LedgerConfig{})
		two = fairness.NewLedger(fairness.LedgerConfig{})
		for _, l := range []*fairness.Ledger{one, two} {
			l.SetWaiting("a", true, now)
		}
		report(one, "one")
		report(two, "two")
		update()
	})

	It("sends a sidecar the charges of another without a report of its own", func() {
		charge(one, 100)
		now = now.Add(10 * time.Millisecond)
		report(one, "one")
		Expect(two.Account("a")).To(BeZero())
		Expect(update()).To(Equal([]string{"sidecar-two"}), "the sidecar that charged is up to date")
		Expect(two.Account("a")).To(BeNumerically("~", 100))
		Expect(one.Account("a")).To(BeNumerically("~", 100))
		Expect(update()).To(BeEmpty())
	})

	It("defers small changes to the next answer", func() {
		charge(one, 100)
		now = now.Add(10 * time.Millisecond)
		report(one, "one")
		update()
		charge(one, 10)
		now = now.Add(10 * time.Millisecond)
		report(one, "one")
		Expect(update()).To(BeEmpty())
		now = now.Add(3 * time.Second)
		two.SetWaiting("a", true, now)
		report(two, "two")
		Expect(two.Account("a")).To(BeNumerically("~", 110))
	})

	It("retains the lift of a team that became active after its last report", func() {
		two.SetWaiting("a", false, now)
		two.SetWaiting("b", true, now)
		for id := range uint64(10) {
			two.Begin(100+id, "b", 0, now)
			two.Settle(100+id, 100, now)
		}
		now = now.Add(time.Minute)
		two.SetWaiting("a", true, now)
		lifted := two.Account("a")
		Expect(lifted).To(BeNumerically(">", 0))
		two.ApplyUpdate(fairness.Update{Teams: []fairness.TeamUpdate{{Team: "a", Base: 0, Seq: 1}}})
		Expect(two.Account("a")).To(Equal(lifted))
	})
})

var _ = Describe("A burst of a team that was idle", func() {
	It("is not charged where no other team waits, within the burst window only", func() {
		l := fairness.NewLedger(fairness.LedgerConfig{Slots: 2})
		l.SetWaiting("flood", true, epoch)
		for id := range uint64(4) {
			l.Begin(id, "flood", 0, epoch)
			l.Settle(id, 100, epoch)
		}
		Expect(l.Account("flood")).To(BeZero(), "two uncharged requests for each of two slots")
		l.Begin(10, "flood", 0, epoch)
		l.Settle(10, 100, epoch)
		Expect(l.Account("flood")).To(BeNumerically("~", 100))

		late := fairness.NewLedger(fairness.LedgerConfig{Slots: 2})
		late.SetWaiting("flood", true, epoch)
		late.Begin(1, "flood", 0, epoch.Add(time.Second))
		late.Settle(1, 100, epoch.Add(time.Second))
		Expect(late.Account("flood")).To(BeNumerically("~", 100))
	})

	It("is charged where another team waits", func() {
		l := fairness.NewLedger(fairness.LedgerConfig{Slots: 2})
		l.SetWaiting("other", true, epoch)
		l.SetWaiting("flood", true, epoch)
		l.Begin(1, "flood", 0, epoch)
		l.Settle(1, 100, epoch)
		Expect(l.Account("flood")).To(BeNumerically("~", 100))
	})

	It("restores the exemption of a declined grant", func() {
		l := fairness.NewLedger(fairness.LedgerConfig{Slots: 1})
		l.SetWaiting("flood", true, epoch)
		for id := range uint64(10) {
			l.Begin(id, "flood", 0, epoch)
			l.Release(id, epoch)
		}
		l.Begin(20, "flood", 0, epoch)
		l.Settle(20, 100, epoch)
		Expect(l.Account("flood")).To(BeZero())
	})
})

var _ = Describe("The virtual time", func() {
	It("does not lift a new team above the waiting teams", func() {
		l := fairness.NewLedger(fairness.LedgerConfig{})
		l.SetWaiting("behind", true, epoch)
		l.SetWaiting("ahead", true, epoch)
		for id := range uint64(10) {
			l.Begin(id, "ahead", 0, epoch)
			l.Settle(id, 100, epoch)
		}
		l.SetWaiting("new", true, epoch)
		Expect(l.Account("new")).To(Equal(l.Account("behind")))
	})
})

var _ = Describe("The debt ceiling", func() {
	It("bounds the debt of a waiting team to two windows", func() {
		now := epoch
		window := 10 * time.Second
		k := fairness.NewKeeper(fairness.KeeperConfig{DebtWindow: window}, "noord", 7, now)
		tell := func(seq uint64, virtualTime, charged float64) {
			k.ApplyReport("s", 1, fairness.Report{Seq: seq, VirtualTime: virtualTime, Teams: []fairness.TeamReport{
				{Team: "ahead", Charged: charged, Active: true}}}, now)
		}
		for seq := range uint64(4) {
			now = now.Add(window)
			tell(seq+1, float64(seq+1)*100, 100000)
		}
		account, ok := k.Account("ahead")
		Expect(ok).To(BeTrue())
		Expect(account).To(BeNumerically("<=", 400+200))
	})
})
