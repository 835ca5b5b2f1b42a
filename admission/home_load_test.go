package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Guards against usage that is lost or counted twice when a team has requests with and
// without home regions, at this router and at another one.
func TestUsageOfATeamAddsUpOverItsHomeRegions(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	sim.send("team", short(1))
	sim.sendWithin(home("r1"), "team", short(2))
	sim.sendWithin(home("r2"), "team", short(3)) // Refused.
	const cost = 2500 + 2*50
	other := admission.NewScheduler(options(), engineCapacity())
	other.ApplyPeerReport(sim.now, "first", sim.scheduler.Report(sim.now, true))
	for _, s := range []*admission.Scheduler{sim.scheduler, other} {
		sim.Expect(s.View(sim.now).Teams).To(Equal(map[fleet.TeamID]admission.TeamUsage{"team": {Requested: 3 * cost, Served: 2 * cost}}))
	}
}

// tally counts the requests of one kind and their outcomes.
type tally struct{ sent, admitted, late, outside int }

func (c *tally) add(sim *simulation, d admission.Decision) {
	c.sent++
	if !d.Admitted {
		return
	}
	c.admitted++
	if sim.idleAt[d.Upstream.ID].Sub(sim.now)+overhead > objective {
		c.late++
	}
	if d.Upstream.Domain != "d1" {
		c.outside++
	}
}

// Guards against the load scenario of one region whose home requests arrive at three times
// its capacity, beside requests without home regions at three quarters of the capacity
// elsewhere: these must not be refused, and the home requests must use their region fully
// and share it fairly, without leaving it.
func TestOverloadedHomeRegionLeavesOtherRegionsUsable(t *testing.T) {
	const (
		interval = 2777 * time.Microsecond // 360 prompts/s, two of three with a home region.
		requests = 6000
		// capacity is the number of prompts that the four engines of the region can
		// prefill meanwhile.
		capacity = requests * 2 / 3 / 3
	)
	withSharedParts := func(i int) placement.Prompt {
		return placement.Prompt{{ID: uint64(i % 40), Tokens: 3500}, {ID: uint64(1_000_000 + i), Tokens: 2500}}
	}
	for name, c := range map[string]struct {
		hotTeams int
		prompt   func(i int) placement.Prompt
	}{
		"short prompts, one hot team":   {1, short},
		"short prompts, four hot teams": {4, short},
		"shared parts, one hot team":    {1, withSharedParts},
		"shared parts, four hot teams":  {4, withSharedParts},
	} {
		t.Run(name, func(t *testing.T) {
			copying := engineCapacity()
			copying.TransferRate = 400_000
			sim := newSimulation(t, options(), copying, 0)
			sim.scheduler.SetUpstreams(upstreamsIn(12, "d1", "d2", "d2"))
			var hot, small, open tally
			for i := range requests {
				sim.advance(interval)
				switch {
				case i%3 == 0:
					d, _ := sim.send(fleet.TeamID(fmt.Sprint("open-", i/3%2)), c.prompt(i))
					open.add(sim, d)
				case i%30 == 1:
					d, _ := sim.sendWithin(home("r1"), "small", c.prompt(i))
					small.add(sim, d)
				default:
					d, _ := sim.sendWithin(home("r1"), fleet.TeamID(fmt.Sprint("hot-", i%c.hotTeams)), c.prompt(i))
					hot.add(sim, d)
				}
			}
			t.Logf("hot %+v, small %+v, open %+v", hot, small, open)
			sim.Expect(hot.outside + small.outside).To(BeZero())
			sim.Expect(hot.late + small.late + open.late).To(BeZero())
			sim.Expect(open.admitted).To(BeNumerically(">", open.sent*97/100))
			sim.Expect(small.admitted).To(BeNumerically(">", small.sent*95/100))
			sim.Expect(hot.admitted + small.admitted).To(BeNumerically(">", capacity*9/10))
		})
	}
}
