package admission_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Two speeds in one service, in the ratio 2.4.
var unevenSpeeds = []float64{0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7}

var evenSpeeds = slices.Repeat([]float64{1}, 12)

// Guards against late requests at the slow engines of a service with two speeds that gets
// more requests than it can serve.
func TestSlowEnginesDoNotCollectLateRequestsUnderFullLoad(t *testing.T) {
	sim := newFleetSimulation(t, 20, unevenSpeeds...)
	sim.run(8*time.Second, 300)
	sim.resetCounts()
	sim.run(12*time.Second, 300)
	slow, fast, late := 0, 0, 0
	for i, speed := range unevenSpeeds {
		id := sim.list[i].ID
		late += sim.late[id]
		if speed < 1 {
			slow += sim.results[id]
			continue
		}
		fast += sim.results[id]
	}
	t.Logf("admitted %d at slow and %d at fast engines, late %d", slow, fast, late)
	sim.Expect(float64(late) / float64(slow+fast)).To(BeNumerically("<", 0.005))
	sim.Expect(fast).To(BeNumerically(">", slow), "4 fast engines prefill more than 8 slow ones")
}

// Guards against treating engines of two speeds alike a few seconds after all routers
// started, and against sharing prompts among them evenly.
func TestPooledFactorsTellSpeedsApartWithinSeconds(t *testing.T) {
	sim := newFleetSimulation(t, 6, unevenSpeeds...)
	sim.run(5*time.Second, 90)
	for i, speed := range unevenSpeeds {
		expected := speed / math.Cbrt(0.7*0.7*1.7)
		sim.Expect(sim.view(0, i).SpeedFactor).To(BeNumerically("~", expected, 0.3*expected), fmt.Sprint("engine ", i))
	}
	sim.run(10*time.Second, 90)
	for i, speed := range unevenSpeeds {
		if speed > 1 {
			sim.Expect(sim.view(0, i).PlacementWeight).To(BeNumerically(">", 1.3), fmt.Sprint("engine ", i))
		}
	}
}

// Guards against moving prompts between engines that are alike, also while one of them is
// slow for half a second, one router is short of processor time, or demand swings between
// failure domains in antiphase.
func TestNoPromptMovesWhileEnginesAreAlike(t *testing.T) {
	scenarios := map[string]func(sim *fleetSimulation){
		"steady": func(*fleetSimulation) {},
		"slow period": func(sim *fleetSimulation) {
			if second := int(sim.now.Sub(start) / time.Second); second%5 == 0 {
				engine := sim.engines["u03"]
				engine.slowUntil, engine.slowdown = sim.now.Add(500*time.Millisecond), 2.5
			}
		},
		"late router": func(sim *fleetSimulation) { sim.routers[0].lateness = 200 * time.Millisecond },
		"swinging demand": func(sim *fleetSimulation) {
			half := len(sim.routers) / 2
			busy, calm := sim.routers[:half], sim.routers[half:]
			if int(sim.now.Sub(start)/(3*time.Second))%2 == 1 {
				busy, calm = calm, busy
			}
			for i := range half {
				busy[i].load, calm[i].load = 5, 1
			}
		},
	}
	for name, change := range scenarios {
		t.Run(name, func(t *testing.T) {
			sim := newFleetSimulation(t, 6, evenSpeeds...)
			sim.assignDomains()
			for range 20 {
				sim.run(time.Second, 140)
				change(sim)
				for i := range evenSpeeds {
					view := sim.view(1, i)
					sim.Expect(view.PlacementWeight).To(BeNumerically("==", 1), fmt.Sprint("engine ", i))
					sim.Expect(view.SpeedFactor).To(BeNumerically("~", 1, 0.25), fmt.Sprint("engine ", i))
				}
			}
		})
	}
}

// Guards against slow placement of prompts on an engine that was replaced by a faster one,
// and against predicting with the earlier engine's factor, which other routers still report.
func TestReplacedEngineBeginsAtThePrior(t *testing.T) {
	sim := newFleetSimulation(t, 6, unevenSpeeds...)
	sim.run(12*time.Second, 90)
	sim.Expect(sim.view(0, 0).SpeedFactor).To(BeNumerically("<", 0.85))
	sim.list[0].StartedUnixMs = 77
	sim.engines["u00"].speed = 1.7
	for _, router := range sim.routers {
		router.scheduler.SetUpstreams(sim.list)
	}
	sim.Expect(sim.view(0, 0).SpeedFactor).To(BeNumerically("==", 1))
	sim.run(8*time.Second, 90)
	sim.Expect(sim.view(0, 0).SpeedFactor).To(BeNumerically(">", 1.2))
}

// Guards against admitting a prompt at an idle slow engine that is certain to answer late,
// while a fast engine that is busy could have answered it on time.
func TestPromptThatOnlyAFastEngineAnswersOnTimeIsNotSentToASlowOne(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 2)
	report := admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u01": {Prefill: 30_000, Running: 1}},
		Factors: map[fleet.UpstreamID]admission.EngineFactor{"u00": {Log: -0.7, Weight: 1000}, "u01": {Log: 0.7, Weight: 1000}},
	}
	sim.scheduler.ApplyPeerReport(sim.now, "other", report)
	prompt := placement.Prompt{{ID: 1, Tokens: 25_000}}
	busy, _ := sim.send("team", prompt)
	sim.Expect(busy.Admitted).To(BeFalse())
	sim.Expect(busy.RetryAfter).To(BeNumerically("~", 150*time.Millisecond, 20*time.Millisecond), "when the fast engine has caught up")
	report.Upstreams["u01"] = admission.UpstreamLoad{Prefill: 90_000, Running: 1}
	sim.scheduler.ApplyPeerReport(sim.now, "other", report)
	busy, _ = sim.send("team", prompt)
	sim.Expect(busy.RetryAfter).To(BeNumerically("~", 750*time.Millisecond, 20*time.Millisecond), "also if the slow engine would answer sooner")
	only := sim.scheduler.Admit(sim.now, admission.Request{ID: "only", Prompt: placement.Prompt{{ID: 2, Tokens: 25_000}}, Objective: objective, Exclude: []fleet.UpstreamID{"u01"}})
	sim.Expect(only.Admitted).To(BeTrue(), "no other engine may serve it")
	sim.scheduler.Cancel(sim.now, "only")
	report.Upstreams = nil
	sim.scheduler.ApplyPeerReport(sim.now, "other", report)
	idle, _ := sim.send("team", prompt)
	sim.Expect(idle.Upstream.ID).To(Equal(fleet.UpstreamID("u01")))
	sim.Expect(idle.Predicted).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
}

// Guards against factors of routers that are gone, against those that are not numbers, and
// against reports that grow with the number of engines.
func TestReportedFactorsAreBoundedAndExpire(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 40)
	factors := map[fleet.UpstreamID]admission.EngineFactor{
		"u00": {Log: 99, Weight: 1e300}, "u01": {Log: math.NaN(), Weight: 9}, "u02": {Log: 1, Weight: -3}, "gone": {Log: 1, Weight: 9},
	}
	sim.scheduler.ApplyPeerReport(sim.now, "other", admission.Report{Full: true, Factors: factors})
	view := sim.scheduler.View(sim.now).Upstreams
	sim.Expect(view["u00"].SpeedFactor).To(BeNumerically("~", 4, 1))
	sim.Expect(view["u01"].SpeedFactor).To(BeNumerically("==", 1))
	sim.Expect(view["u02"].SpeedFactor).To(BeNumerically("==", 1))
	sim.now = sim.now.Add(options().PeerTTL)
	sim.Expect(sim.scheduler.View(sim.now).Upstreams["u00"].SpeedObservations).To(BeZero())
	for i := range 200 {
		sim.send("team", short(i))
		sim.advance(100 * time.Millisecond)
		sim.send("team", placement.Prompt{{ID: uint64(9000 + i), Tokens: 5000}})
	}
	first, second := sim.scheduler.Report(sim.now, true).Factors, sim.scheduler.Report(sim.now, true).Factors
	sim.Expect(len(first)).To(BeNumerically("<=", 16))
	sim.Expect(second).NotTo(BeEmpty())
}
