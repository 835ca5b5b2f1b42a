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
	sim := &simulation{now: epoch, rng: rand.New(rand.NewPCG(1, 2)), teams: teams, weights: weights}
	sim.served = make(map[fleet.TeamID]float64)
	sim.waiting = func(int, fleet.TeamID) bool { return true }
	for i := range sidecars {
		ledger := fairness.NewLedger(fairness.LedgerConfig{Estimate: maxCost / 2})
		sim.sidecars = append(sim.sidecars, &sidecar{ledger: ledger, region: i % len(regionIDs)})
	}
	for i := range regionIDs {
		sim.keepers = append(sim.keepers, nil)
		sim.restartKeeper(i)
	}
	return sim
}

func (sim *simulation) restartKeeper(i int) {
	sim.nextID++
	sim.keepers[i] = fairness.NewKeeper(fairness.KeeperConfig{}, regionIDs[i], fleet.Incarnation(sim.nextID), sim.now)
}

func (sim *simulation) weight(team fleet.TeamID) float64 {
	if w, ok := sim.weights[team]; ok {
		return w
	}
	return 1
}

func (sim *simulation) step(n int) {
	sim.now = sim.now.Add(tick)
	for i, s := range sim.sidecars {
		sim.serve(i, s)
	}
	if n%reportTicks == 0 {
		sim.exchangeReports()
	}
	if n%sumsTicks == 0 && !sim.partitioned {
		sim.exchangeSums()
	}
}

func (sim *simulation) serve(index int, s *sidecar) {
	for _, team := range sim.teams {
		s.ledger.SetWeight(team, sim.weight(team))
		s.ledger.SetWaiting(team, sim.waiting(index, team), sim.now)
	}
	for i := range s.slots {
		r := &s.slots[i]
		if r.team != "" {
			r.done++
			sim.served[r.team] += 1 / sim.weight(r.team)
			s.ledger.Accrue(r.id, r.done)
			if r.done < r.cost {
				continue
			}
			s.ledger.Settle(r.id, r.cost, sim.now)
		}
		*r = slot{team: sim.pick(index, s.ledger)}
		if r.team == "" {
			continue
		}
		sim.nextID++
		r.id = sim.nextID
		r.cost = float64(1 + sim.rng.IntN(maxCost))
		s.ledger.Begin(r.id, r.team, 0, sim.now)
		sim.grants = append(sim.grants, r.team)
	}
}

func (sim *simulation) pick(index int, l *fairness.Ledger) (best fleet.TeamID) {
	for _, team := range sim.teams {
		if sim.waiting(index, team) && (best == "" || l.Account(team) < l.Account(best)) {
			best = team
		}
	}
	return best
}

func (sim *simulation) exchangeReports() {
	for _, deliver := range sim.answers {
		deliver()
	}
	sim.answers = nil
	for i, s := range sim.sidecars {
		if r, ok := s.ledger.Report(sim.now); ok {
			totals := sim.keepers[s.region].ApplyReport(fleet.NodeID(fmt.Sprint(i)), 1, r, sim.now)
			sim.answers = append(sim.answers, func() { s.ledger.ApplyTotals(totals) })
		}
	}
}

func (sim *simulation) exchangeSums() {
	for i, from := range sim.keepers {
		if sums, ok := from.RegionSums(sim.now); ok {
			sim.keepers[1-i].MergeRegion(sums, sim.now)
		}
	}
}

// serviceGap tracks the range of the difference between the normalized service of two
// teams. Its width bounds the change of that difference over every interval.
type serviceGap struct{ low, high float64 }

func (g *serviceGap) observe(sim *simulation, first, second fleet.TeamID) {
	difference := sim.served[first] - sim.served[second]
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

	measure := func(sim *simulation, from, to int, first, second fleet.TeamID) float64 {
		g := serviceGap{low: math.Inf(1), high: math.Inf(-1)}
		for n := from; n < to; n++ {
			sim.step(n)
			g.observe(sim, first, second)
		}
		return g.width()
	}

	It("bounds the gap by one maximum request per slot plus the service within the report lag", func() {
		sim := newSimulation(sidecars, nil, "a", "b", "c")
		width := measure(sim, 0, 20000, "a", "b")
		AddReportEntry("gap", fmt.Sprintf("%.0f of at most %.0f", width, bound))
		Expect(width).To(BeNumerically("<=", bound))
	})

	It("bounds the weighted gap when a team is backlogged at half of the sidecars only", func() {
		sim := newSimulation(sidecars, map[fleet.TeamID]float64{"c": 2}, "a", "b", "c")
		sim.waiting = func(s int, team fleet.TeamID) bool { return team != "b" || s < sidecars/2 }
		ab, ac := serviceGap{}, serviceGap{}
		for n := range 20000 {
			sim.step(n)
			ab.observe(sim, "a", "b")
			ac.observe(sim, "a", "c")
		}
		AddReportEntry("gap", fmt.Sprintf("%.0f and %.0f of at most %.0f", ab.width(), ac.width(), bound))
		Expect(ab.width()).To(BeNumerically("<=", bound))
		Expect(ac.width()).To(BeNumerically("<=", bound))
	})

	It("bounds the gap across keeper restarts", func() {
		sim := newSimulation(sidecars, nil, "a", "b")
		sim.waiting = func(s int, team fleet.TeamID) bool { return team == "a" || s < sidecars/2 }
		width := 0.0
		for n := range 20 {
			sim.restartKeeper(n % 2)
			width = max(width, measure(sim, n*1000, (n+1)*1000, "a", "b"))
		}
		AddReportEntry("gap", fmt.Sprintf("%.0f of at most %.0f", width, bound))
		Expect(math.Abs(sim.served["a"] - sim.served["b"])).To(BeNumerically("<=", bound))
		Expect(width).To(BeNumerically("<=", bound))
	})

	It("shares within each region during a partition and compensates afterwards", func() {
		sim := newSimulation(sidecars, nil, "a", "b")
		sim.waiting = func(s int, team fleet.TeamID) bool { return team == "a" || s%len(regionIDs) == 0 }
		sim.partitioned = true
		measure(sim, 0, 2000, "a", "b")
		Expect(sim.served["a"]).To(BeNumerically("~", 3*sim.served["b"], bound))
		sim.partitioned = false
		measure(sim, 2000, 3000, "a", "b")
		Expect(math.Abs(sim.served["a"] - sim.served["b"])).To(BeNumerically(">", bound))
		sim.waiting = func(int, fleet.TeamID) bool { return true }
		measure(sim, 3000, 8000, "a", "b")
		Expect(math.Abs(sim.served["a"] - sim.served["b"])).To(BeNumerically("<=", bound))
		Expect(measure(sim, 8000, 12000, "a", "b")).To(BeNumerically("<=", bound))
	})

	It("bounds the credit of a team that sends requests often but uses little", func() {
		sim := newSimulation(sidecars, nil, "flood", "b")
		n := 0
		sim.waiting = func(_ int, team fleet.TeamID) bool { return team == "flood" || n%200 < 5 }
		for n < 20000 {
			sim.step(n)
			n++
		}
		sim.waiting = func(int, fleet.TeamID) bool { return true }
		before := sim.served["b"] - sim.served["flood"]
		measure(sim, 20000, 40000, "flood", "b")
		credit := sim.served["b"] - sim.served["flood"] - before
		window := 2 * rate * float64(fairness.DefaultCreditWindow/tick)
		AddReportEntry("credit", fmt.Sprintf("%.0f of at most %.0f", credit, window+bound))
		Expect(credit).To(BeNumerically("<=", window+bound))
	})

	It("gives a returning team neither credit nor a delay behind a backlogged team", func() {
		sim := newSimulation(sidecars, nil, "flood", "b")
		sim.waiting = func(_ int, team fleet.TeamID) bool { return team == "flood" }
		measure(sim, 0, 10000, "flood", "b")
		sim.waiting = func(int, fleet.TeamID) bool { return true }
		sim.grants = nil
		before := sim.served["flood"]
		measure(sim, 10000, 14000, "flood", "b")
		Expect(sim.grants[:2*sidecars*slots]).To(ContainElement(fleet.TeamID("b")))
		Expect(sim.served["b"] - (sim.served["flood"] - before)).To(BeNumerically("~", 0, bound))
	})
})
