package fairness_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	tick        = 10 * time.Millisecond
	reportTicks = 10
	sumsTicks   = 50
	maxCost     = 50
	slots       = 4
)

var regionIDs = []fleet.RegionID{"noord", "randstad"}

type slot struct {
	id   uint64
	team fleet.TeamID
	cost float64
	done float64
}

type sidecar struct {
	ledger *fairness.Ledger
	region int
	slots  [slots]slot
}

// backlog steps sidecars of two regions whose slots serve one cost unit a tick.
// Answers to reports take one report interval.
type backlog struct {
	now      time.Time
	rng      *rand.Rand
	teams    []fleet.TeamID
	weights  map[fleet.TeamID]float64
	waiting  func(s int, team fleet.TeamID) bool
	sidecars []*sidecar
	keepers  []*fairness.Keeper
	answers  []func()
	nextID   uint64
	cut      bool
	served   map[fleet.TeamID]float64
	grants   []fleet.TeamID
}

func newBacklog(sidecars int, weights map[fleet.TeamID]float64, teams ...fleet.TeamID) *backlog {
	b := &backlog{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), teams: teams, weights: weights}
	b.served = make(map[fleet.TeamID]float64)
	b.waiting = func(int, fleet.TeamID) bool { return true }
	for i := range sidecars {
		ledger := fairness.NewLedger(fairness.LedgerConfig{Estimate: maxCost / 2})
		b.sidecars = append(b.sidecars, &sidecar{ledger: ledger, region: i % len(regionIDs)})
	}
	for i := range regionIDs {
		b.keepers = append(b.keepers, nil)
		b.restartKeeper(i)
	}
	return b
}

func (b *backlog) restartKeeper(i int) {
	b.nextID++
	b.keepers[i] = fairness.NewKeeper(fairness.KeeperConfig{}, regionIDs[i], fleet.Incarnation(b.nextID), b.now)
}

func (b *backlog) weight(team fleet.TeamID) float64 {
	if w, ok := b.weights[team]; ok {
		return w
	}
	return 1
}

func (b *backlog) step(n int) {
	b.now = b.now.Add(tick)
	for i, s := range b.sidecars {
		b.serve(i, s)
	}
	if n%reportTicks == 0 {
		b.exchangeReports()
	}
	if n%sumsTicks == 0 && !b.cut {
		b.exchangeSums()
	}
}

func (b *backlog) serve(index int, s *sidecar) {
	for _, team := range b.teams {
		s.ledger.SetWeight(team, b.weight(team))
		s.ledger.SetActive(team, b.waiting(index, team), b.now)
	}
	for i := range s.slots {
		r := &s.slots[i]
		if r.team != "" {
			r.done++
			b.served[r.team] += 1 / b.weight(r.team)
			s.ledger.Accrue(r.id, r.done)
			if r.done < r.cost {
				continue
			}
			s.ledger.Settle(r.id, r.cost, b.now)
		}
		*r = slot{team: b.pick(index, s.ledger)}
		if r.team == "" {
			continue
		}
		b.nextID++
		r.id = b.nextID
		r.cost = float64(1 + b.rng.IntN(maxCost))
		s.ledger.Begin(r.id, r.team, 0, b.now)
		b.grants = append(b.grants, r.team)
	}
}

func (b *backlog) pick(index int, l *fairness.Ledger) (best fleet.TeamID) {
	for _, team := range b.teams {
		if b.waiting(index, team) && (best == "" || l.Account(team) < l.Account(best)) {
			best = team
		}
	}
	return best
}

func (b *backlog) exchangeReports() {
	for _, deliver := range b.answers {
		deliver()
	}
	b.answers = nil
	for i, s := range b.sidecars {
		if r, ok := s.ledger.Report(b.now); ok {
			totals := b.keepers[s.region].ApplyReport(fleet.NodeID(fmt.Sprint(i)), 1, r, b.now)
			b.answers = append(b.answers, func() { s.ledger.ApplyTotals(totals) })
		}
	}
}

func (b *backlog) exchangeSums() {
	for i, from := range b.keepers {
		if sums, ok := from.RegionSums(b.now); ok {
			b.keepers[1-i].MergeRegion(sums, b.now)
		}
	}
}

// gap is the range of the difference between the normalized service of two
// teams, which bounds it over every interval.
type gap struct{ low, high float64 }

func (g *gap) observe(b *backlog, first, second fleet.TeamID) {
	difference := b.served[first] - b.served[second]
	g.low = math.Min(g.low, difference)
	g.high = math.Max(g.high, difference)
}

func (g *gap) width() float64 { return g.high - g.low }

var _ = Describe("Backlogged teams", func() {
	const sidecars = 4
	// rate is the service of the fleet in one tick.
	const rate = float64(sidecars * slots)
	// lag is the age of what a sidecar knows of its own region (a report
	// interval, and the answer's way) and of the other region.
	const lag = float64(2*reportTicks + sumsTicks)
	const bound = sidecars*slots*maxCost + rate*lag

	measure := func(b *backlog, from, to int, first, second fleet.TeamID) float64 {
		g := gap{low: math.Inf(1), high: math.Inf(-1)}
		for n := from; n < to; n++ {
			b.step(n)
			g.observe(b, first, second)
		}
		return g.width()
	}

	It("bounds the gap by a largest request for each slot and the service in the report lag", func() {
		b := newBacklog(sidecars, nil, "a", "b", "c")
		width := measure(b, 0, 20000, "a", "b")
		AddReportEntry("gap", fmt.Sprintf("%.0f of at most %.0f", width, bound))
		Expect(width).To(BeNumerically("<=", bound))
	})

	It("bounds it by weight, also if a team waits at half of the sidecars only", func() {
		b := newBacklog(sidecars, map[fleet.TeamID]float64{"c": 2}, "a", "b", "c")
		b.waiting = func(s int, team fleet.TeamID) bool { return team != "b" || s < sidecars/2 }
		ab, ac := gap{}, gap{}
		for n := range 20000 {
			b.step(n)
			ab.observe(b, "a", "b")
			ac.observe(b, "a", "c")
		}
		AddReportEntry("gap", fmt.Sprintf("%.0f and %.0f of at most %.0f", ab.width(), ac.width(), bound))
		Expect(ab.width()).To(BeNumerically("<=", bound))
		Expect(ac.width()).To(BeNumerically("<=", bound))
	})

	It("bounds it over restarts of the keepers", func() {
		b := newBacklog(sidecars, nil, "a", "b")
		b.waiting = func(s int, team fleet.TeamID) bool { return team == "a" || s < sidecars/2 }
		width := 0.0
		for n := range 20 {
			b.restartKeeper(n % 2)
			width = max(width, measure(b, n*1000, (n+1)*1000, "a", "b"))
		}
		AddReportEntry("gap", fmt.Sprintf("%.0f of at most %.0f", width, bound))
		Expect(math.Abs(b.served["a"] - b.served["b"])).To(BeNumerically("<=", bound))
		Expect(width).To(BeNumerically("<=", bound))
	})

	It("shares each region while they are cut, and makes it up afterwards", func() {
		b := newBacklog(sidecars, nil, "a", "b")
		b.waiting = func(s int, team fleet.TeamID) bool { return team == "a" || s%len(regionIDs) == 0 }
		b.cut = true
		measure(b, 0, 2000, "a", "b")
		Expect(b.served["a"]).To(BeNumerically("~", 3*b.served["b"], bound))
		b.cut = false
		measure(b, 2000, 3000, "a", "b")
		Expect(math.Abs(b.served["a"] - b.served["b"])).To(BeNumerically(">", bound))
		b.waiting = func(int, fleet.TeamID) bool { return true }
		measure(b, 3000, 8000, "a", "b")
		Expect(math.Abs(b.served["a"] - b.served["b"])).To(BeNumerically("<=", bound))
		Expect(measure(b, 8000, 12000, "a", "b")).To(BeNumerically("<=", bound))
	})

	It("lets no team save up credit that asks often but for little", func() {
		b := newBacklog(sidecars, nil, "flood", "b")
		n := 0
		b.waiting = func(_ int, team fleet.TeamID) bool { return team == "flood" || n%200 < 5 }
		for n < 20000 {
			b.step(n)
			n++
		}
		b.waiting = func(int, fleet.TeamID) bool { return true }
		before := b.served["b"] - b.served["flood"]
		measure(b, 20000, 40000, "flood", "b")
		credit := b.served["b"] - b.served["flood"] - before
		window := 2 * rate * float64(fairness.DefaultCreditWindow/tick)
		AddReportEntry("credit", fmt.Sprintf("%.0f of at most %.0f", credit, window+bound))
		Expect(credit).To(BeNumerically("<=", window+bound))
	})

	It("gives a returning team neither credit nor a wait behind a flood", func() {
		b := newBacklog(sidecars, nil, "flood", "b")
		b.waiting = func(_ int, team fleet.TeamID) bool { return team == "flood" }
		measure(b, 0, 10000, "flood", "b")
		b.waiting = func(int, fleet.TeamID) bool { return true }
		b.grants = nil
		before := b.served["flood"]
		measure(b, 10000, 14000, "flood", "b")
		Expect(b.grants[:2*sidecars*slots]).To(ContainElement(fleet.TeamID("b")))
		Expect(b.served["b"] - (b.served["flood"] - before)).To(BeNumerically("~", 0, bound))
	})
})
