package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// newLimitedSimulation returns a simulation of one gateway in which some engines name a limit.
func newLimitedSimulation(t *testing.T, c admission.Capacity, engines, limited int, rate float64) *simulation {
	sim := newSimulation(t, options(), c, engines)
	members := warmup.NewMembers(warmup.MembersOptions{Self: "g0", Domain: "d1", TTL: time.Hour})
	members.SetRegistered(start.Add(-time.Minute), map[fleet.NodeID]fleet.FailureDomainID{"g0": "d1"})
	sim.scheduler.SetFleet(members.Fleet(options().Regions))
	for _, u := range upstreams(engines)[:limited] {
		sim.scheduler.MergeLimit(start, warmup.NamedLimit{Upstream: warmup.Upstream{ID: u.ID}, Rate: rate, Version: 1})
	}
	return sim
}

// Guards against refusals when the preferred engines of prompts name limits while other engines
// are free, and against the load that moves there making them late. Two thirds of the engines
// name a limit; the load is half of what the rest reads.
func TestLoadOfLimitedEnginesMovesToOthers(t *testing.T) {
	const engines, limited, limit = 12, 8, 2.0
	for name, transferRate := range map[string]float64{"engines that copy": 400_000, "engines that do not": 0} {
		capacity := engineCapacity()
		capacity.TransferRate = transferRate
		sim := newLimitedSimulation(t, capacity, engines, limited, limit)
		sent := map[fleet.UpstreamID]int{}
		refused := 0
		const requests = 600
		for i := range requests {
			sim.advance(30 * time.Millisecond) // 33 a second, of 2,000 to 12,000 tokens.
			d, _ := sim.send("team", shared(i%20, i))
			if !d.Admitted {
				refused++
				sim.Expect(d.RetryAfter).To(BeNumerically(">", 0))
				continue
			}
			sent[d.Upstream.ID]++
			sim.Expect(sim.idleAt[d.Upstream.ID].Sub(sim.now)+overhead).To(BeNumerically("<", objective), name)
		}
		seconds := sim.now.Sub(start).Seconds()
		for _, u := range upstreams(engines)[:limited] {
			sim.Expect(float64(sent[u.ID])).To(BeNumerically("<=", limit*seconds+1), name)
		}
		sim.Expect(float64(refused)/requests).To(BeNumerically("<", 0.05), name)
	}
}

// Guards against a request that waits, or is told a time that no engine stands for, when all
// engines name limits.
func TestRefusedAtOnceWhenAllEnginesAreLimited(t *testing.T) {
	const engines, limit, requests = 4, 0.5, 50
	sim := newLimitedSimulation(t, engineCapacity(), engines, engines, limit)
	admitted := 0
	for i := range requests {
		sim.advance(100 * time.Millisecond)
		d, _ := sim.send(fleet.TeamID(fmt.Sprint("team-", i)), shared(i, i))
		if d.Admitted {
			admitted++
			continue
		}
		sim.Expect(d.Reason).To(Equal(admission.Overloaded))
		sim.Expect(d.OverLimit).To(Equal(engines))
		sim.Expect(d.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*time.Second)))
	}
	seconds := sim.now.Sub(start).Seconds()
	sim.Expect(float64(admitted)).To(BeNumerically("~", engines*(limit*seconds+1), engines))
}

// Guards against a team that asks for many times its share taking most of the requests that
// limited engines accept, as they are too few for queues to tell the teams apart, and against
// requests that nobody else wants being kept from it.
func TestTeamsShareTheRequestsThatLimitedEnginesTake(t *testing.T) {
	const engines, limit = 4, 5.0
	run := func(quiet bool) map[fleet.TeamID]int {
		sim := newLimitedSimulation(t, engineCapacity(), engines, engines, limit)
		served := map[fleet.TeamID]int{}
		send := func(team fleet.TeamID) {
			if d, _ := sim.send(team, short(sim.requests)); d.Admitted {
				served[team]++
			}
		}
		for i := range 4000 {
			sim.advance(5 * time.Millisecond)
			send("hot") // 200 a second, twenty are taken.
			if !quiet && i%20 == 0 {
				send("small-1") // Ten a second each.
				send("small-2")
			}
		}
		return served
	}
	const seconds = 20
	g := NewWithT(t)
	served := run(false)
	for _, small := range []fleet.TeamID{"small-1", "small-2"} {
		// All three are owed the same; a quarter is left for the lag of the usage window.
		g.Expect(float64(served[small])).To(BeNumerically(">=", 0.75*float64(served["hot"])), "%v", served)
	}
	g.Expect(served["hot"]+served["small-1"]+served["small-2"]).To(BeNumerically(">=", 0.9*engines*limit*seconds), "%v", served)
	g.Expect(run(true)["hot"]).To(BeNumerically(">=", 0.9*engines*limit*seconds))
}
