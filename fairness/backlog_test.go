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

// simulation models sidecars in two regions. Each busy slot serves one cost unit per
// tick, and the answer to a report takes one report interval.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	teams    []fleet.TeamID
	weights  map[fleet.TeamID]float64
	waiting  func(s int, team fleet.TeamID) bool
	sidecars []*sidecar
	keepers  []*fairness.Keeper
	answers  []func()
	nextID   uint64
	// partitioned stops the exchange of sums between the regions.
	partitioned bool
	served      map[fleet.TeamID]float64
	grants      []fleet.TeamID
}

func newSimulation(sidecars int, weights map[fleet.TeamID]float64, teams ...fleet.TeamID) *simulation {
	b := &simulation{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), teams: teams, weights: weights}
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

func (b *simulation) restartKeeper(i int) {
	b.nextID++
	b.keepers[i] = fairness.NewKeeper(fairness.KeeperConfig{}, regionIDs[i], fleet.Incarnation(b.nextID), b.now)
}

func (b *simulation) weight(team fleet.TeamID) float64 {
	if w, ok := b.weights[team]; ok {
		return w
	}
	return 1
}

func (b *simulation) step(n int) {
	b.now = b.now.Add(tick)
	for i, s := range b.sidecars {
		b.serve(i, s)
	}
	if n%reportTicks == 0 {
		b.exchangeReports()
	}
	if n%sumsTicks == 0 && !b.partitioned {
		b.exchangeSums()
	}
}

func (b *simulation) serve(index int, s *sidecar) {
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

func (b *simulation) pick(index int, l *fairness.Ledger) (best fleet.TeamID) {
	for _, team := range b.teams {
		if b.waiting(index, team) && (best == "" || l.Account(team) < l.Account(best)) {
			best = team
		}
	}
	return best
}

func (b *simulation) exchangeReports() {
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

func (b *simulation) exchangeSums() {
	for i, from := range b.keepers {
		if sums, ok := from.RegionSums(b.now); ok {
			b.keepers[1-i].MergeRegion(sums, b.now)
		}
	}
}

// serviceGap tracks the range of the difference between the normalized service of two
// teams. Its width bounds the change of that difference over every interval.
type serviceGap struct{ low, high float64 }

func (g *serviceGap) observe(b *simulation, first, second fleet.TeamID) {
	difference := b.served[first] - b.served[second]
	g.low = math.Min(g.low, difference)
	g.high = math.Max(g.high, difference)
}

func (g *serviceGap) width() float64 { return g.high - g.low }

var _ = Describe("Backlogged teams", func() {
	const sidecars = 4
	// rate is the cost that the fleet serves in one tick.
	const rate = float64(sidecars * slots)
	// lag is the maximum age of a sidecar's data in ticks: a report interval and the
	// answer's delay for its own region, and the interval of region sums.
	const lag = float64(2*reportTicks + sumsTicks)
	const bound = sidecars*slots*maxCost + rate*lag

	measure := func(b *simulation, from, to int, first, second fleet.TeamID) float64 {
		g := serviceGap{low: math.Inf(1), high: math.Inf(-1)}
		for n := from; n < to; n++ {
			b.step(n)
			g.observe(b, first, second)
		}
		return g.width()
	}

	It("bounds the gap by one maximum request per slot plus the service within the report lag", func() {
		b := newSimulation(sidecars, nil, "a", "b", "c")
		width := measure(b, 0, 20000, "a", "b")
		AddReportEntry("gap", fmt.Sprintf("%.0f of at most %.0f", width, bound))
		Expect(width).To(BeNumerically("<=", bound))
	})

	It("bounds the weighted gap when a team is backlogged at half of the sidecars only", func() {
		b := newSimulation(sidecars, map[fleet.TeamID]float64{"c": 2}, "a", "b", "c")
		b.waiting = func(s int, team fleet.TeamID) bool { return team != "b" || s < sidecars/2 }
		ab, ac := serviceGap{}, serviceGap{}
		for n := range 20000 {
			b.step(n)
			ab.observe(b, "a", "b")
			ac.observe(b, "a", "c")
		}
		AddReportEntry("gap", fmt.Sprintf("%.0f and %.0f of at most %.0f", ab.width(), ac.width(), bound))
		Expect(ab.width()).To(BeNumerically("<=", bound))
		Expect(ac.width()).To(BeNumerically("<=", bound))
	})

	It("bounds the gap across keeper restarts", func() {
		b := newSimulation(sidecars, nil, "a", "b")
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

	It("shares within each region during a partition and compensates afterwards", func() {
		b := newSimulation(sidecars, nil, "a", "b")
		b.waiting = func(s int, team fleet.TeamID) bool { return team == "a" || s%len(regionIDs) == 0 }
		b.partitioned = true
		measure(b, 0, 2000, "a", "b")
		Expect(b.served["a"]).To(BeNumerically("~", 3*b.served["b"], bound))
		b.partitioned = false
		measure(b, 2000, 3000, "a", "b")
		Expect(math.Abs(b.served["a"] - b.served["b"])).To(BeNumerically(">", bound))
		b.waiting = func(int, fleet.TeamID) bool { return true }
		measure(b, 3000, 8000, "a", "b")
		Expect(math.Abs(b.served["a"] - b.served["b"])).To(BeNumerically("<=", bound))
		Expect(measure(b, 8000, 12000, "a", "b")).To(BeNumerically("<=", bound))
	})

	It("bounds the credit of a team that sends requests often but uses little", func() {
		b := newSimulation(sidecars, nil, "flood", "b")
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

	It("gives a returning team neither credit nor a delay behind a backlogged team", func() {
		b := newSimulation(sidecars, nil, "flood", "b")
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
