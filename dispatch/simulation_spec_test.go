package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Routers and sidecars together", func() {
	// flood submits n requests of a team at once.
	flood := func(sim *simulation, r *simulatedRouter, team fleet.TeamID, n int, work time.Duration) {
		for range n {
			sim.arrive(r, request(RequestID(len(sim.requests)+1), team), work)
		}
	}

	// utilisation returns the fraction of slot time used from 1 s to 6 s, with the
	// fault injected at 1 s.
	utilisation := func(sim *simulation, slots float64, fault func()) float64 {
		sim.run(at(time.Second))
		fault()
		before := sim.busyTime
		sim.run(at(6 * time.Second))
		return (sim.busyTime - before).Seconds() / (5 * slots)
	}

	It("keeps the gap between backlogged teams bounded beside a flood", func() {
		const slots, work = 4, 20 * time.Millisecond
		sim := newSimulation(GinkgoT(), 2, 1, slots, time.Millisecond, true)
		served := map[fleet.TeamID]int{}
		total, worst := 0, 0
		sim.onStart = func(q *simulatedRequest) {
			served[q.Team]++
			total++
			if total <= 300 { // all ten teams are backlogged until here
				for i := range 10 {
					gap := served[q.Team] - served[fleet.TeamID(fmt.Sprint("t", i))]
					worst = max(worst, gap)
				}
			}
		}
		flood(sim, sim.routers[0], "t0", 2000, work)
		for i := range 9 {
			flood(sim, sim.routers[i%2], fleet.TeamID(fmt.Sprint("t", i+1)), 100, work)
		}
		sim.run(at(20 * time.Second))
		Expect(sim.unfinished()).To(BeEmpty())
		// The bound is one request for each slot and each staged request: the grants
		// to the first team before the demand of the others was received.
		Expect(worst).To(BeNumerically("<=", 2*slots))
	})

	It("keeps the upstream busy while a router is paused", func() {
		const slots, work = 4, 20 * time.Millisecond
		sim := newSimulation(GinkgoT(), 2, 1, slots, time.Millisecond, true)
		flood(sim, sim.routers[0], "t0", 5000, work)
		flood(sim, sim.routers[1], "t1", 5000, work)
		busy := utilisation(sim, slots, func() { sim.pause(sim.routers[0], 10*time.Second) })
		Expect(busy).To(BeNumerically(">", 0.98))
	})

	DescribeTable("utilisation", func(staging bool, lo, hi float64) {
		const slots, work = 4, 20 * time.Millisecond
		sim := newSimulation(GinkgoT(), 2, 1, slots, 5*time.Millisecond, staging)
		flood(sim, sim.routers[0], "t0", 1000, work)
		flood(sim, sim.routers[1], "t1", 1000, work)
		busy := utilisation(sim, slots, func() {})
		GinkgoWriter.Printf("staging %v: utilisation %.3f\n", staging, busy)
		Expect(busy).To(And(BeNumerically(">=", lo), BeNumerically("<=", hi)))
	},
		Entry("with staging hides the round trip", true, 0.98, 1.01),
		Entry("without staging waits for each grant", false, 0.6, 0.7),
	)
})
