package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
)

// Guards against a router that attributes its own delays to slow engines and then refuses
// the requests that would correct its estimate.
func TestDelayedRouterUsesEstimatesOfOtherRouters(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 2)
	const delay = 400 * time.Millisecond
	for i := range 40 {
		d, id := sim.send("team", short(i))
		if !d.Admitted {
			sim.now = sim.now.Add(time.Second)
			continue
		}
		prefill := time.Duration(float64(d.Prefill) / rate * float64(time.Second))
		sim.now = sim.now.Add(prefill + overhead + delay)
		sim.scheduler.FirstEvent(sim.now, id)
		sim.scheduler.End(sim.now, id, outlier.Success)
		sim.now = sim.now.Add(time.Second)
	}
	sim.now = sim.now.Add(options().Window)
	alone, id := sim.send("team", short(100))
	sim.Expect(alone.Predicted).To(BeNumerically(">", 200*time.Millisecond), "by its own observations")
	sim.scheduler.Cancel(sim.now, id)
	sim.now = sim.now.Add(options().Window)
	for _, other := range []fleet.NodeID{"b", "c"} {
		sim.scheduler.ApplyPeerReport(sim.now, other, admission.Report{Full: true, Speed: &admission.EngineSpeed{Rate: rate, Overhead: overhead}})
	}
	// A backlog of 0.2 s leaves enough of the objective.
	sim.scheduler.ApplyPeerReport(sim.now, "b", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 10_000}, "u01": {Prefill: 10_000}},
		Speed: &admission.EngineSpeed{Rate: rate, Overhead: overhead},
	})
	d, _ := sim.send("team", short(101))
	sim.Expect(d.Admitted).To(BeTrue())
	sim.Expect(d.Predicted).To(BeNumerically("~", overhead+250*time.Millisecond, 60*time.Millisecond))
}

func TestSpeedIsReportedAfterEnoughObservations(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 2)
	sim.Expect(sim.scheduler.Report(sim.now, true).Speed).To(BeNil())
	for i := range 10 {
		sim.send("team", short(i))
		sim.advance(200 * time.Millisecond)
	}
	speed := sim.scheduler.Report(sim.now, true).Speed
	sim.Expect(speed).NotTo(BeNil())
	sim.Expect(speed.Rate).To(BeNumerically("~", rate, rate/10))
	sim.Expect(speed.Overhead).To(BeNumerically("~", overhead, 10*time.Millisecond))
	sim.Expect(sim.scheduler.Report(sim.now, false).Speed).To(BeNil(), "only full reports contain it")
}

// Guards against a wrong estimate at a router that has just started when one of the other
// routers sees first tokens late.
func TestMedianOfAllEstimatesIsUsed(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 2)
	for node, speed := range map[fleet.NodeID]admission.EngineSpeed{
		"b": {Rate: rate, Overhead: overhead}, "c": {Rate: 1.1 * rate, Overhead: overhead},
		"d": {Rate: 0.9 * rate, Overhead: overhead}, "late": {Rate: rate / 8, Overhead: 5 * overhead},
	} {
		sim.scheduler.ApplyPeerReport(sim.now, node, admission.Report{Full: true, Speed: &speed})
	}
	sim.Expect(sim.scheduler.View(sim.now).PrefillRate).To(BeNumerically("==", rate))
	sim.Expect(sim.scheduler.View(sim.now).OverheadMs).To(Equal(overhead.Milliseconds()))
	sim.scheduler.RemovePeer("b")
	sim.scheduler.RemovePeer("c")
	sim.scheduler.RemovePeer("d")
	sim.scheduler.RemovePeer("late")
	sim.Expect(sim.scheduler.View(sim.now).PrefillRate).To(BeNumerically("==", rate), "the initial estimate")
}
