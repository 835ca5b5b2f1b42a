package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
)

// Guards against a router that takes its own lateness for slowness of the engines,
// and then refuses all that would correct it.
func TestLateRouterGoesByWhatTheOthersLearnt(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 2)
	const lateness = 400 * time.Millisecond
	for i := range 40 {
		d, id := w.ask("team", short(i))
		if !d.Admitted {
			w.now = w.now.Add(time.Second)
			continue
		}
		reading := time.Duration(float64(d.Prefill) / rate * float64(time.Second))
		w.now = w.now.Add(reading + overhead + lateness)
		w.s.FirstEvent(w.now, id)
		w.s.End(w.now, id, outlier.Success)
		w.now = w.now.Add(time.Second)
	}
	w.now = w.now.Add(options().Window)
	alone, id := w.ask("team", short(100))
	w.Expect(alone.Predicted).To(BeNumerically(">", 200*time.Millisecond), "what it sees by itself")
	w.s.Cancel(w.now, id)
	w.now = w.now.Add(options().Window)
	for _, other := range []fleet.NodeID{"b", "c"} {
		w.s.ApplyPeerReport(w.now, other, admission.Report{Full: true, Speed: &admission.EngineSpeed{Rate: rate, Overhead: overhead}})
	}
	// A backlog of 0.2 s: enough of the objective is left.
	w.s.ApplyPeerReport(w.now, "b", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 10_000}, "u01": {Prefill: 10_000}},
		Speed: &admission.EngineSpeed{Rate: rate, Overhead: overhead},
	})
	d, _ := w.ask("team", short(101))
	w.Expect(d.Admitted).To(BeTrue())
	w.Expect(d.Predicted).To(BeNumerically("~", overhead+250*time.Millisecond, 60*time.Millisecond))
}

func TestSpeedIsToldOnceItIsLearnt(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 2)
	w.Expect(w.s.Report(w.now, true).Speed).To(BeNil())
	for i := range 10 {
		w.ask("team", short(i))
		w.pass(200 * time.Millisecond)
	}
	told := w.s.Report(w.now, true).Speed
	w.Expect(told).NotTo(BeNil())
	w.Expect(told.Rate).To(BeNumerically("~", rate, rate/10))
	w.Expect(told.Overhead).To(BeNumerically("~", overhead, 10*time.Millisecond))
	w.Expect(w.s.Report(w.now, false).Speed).To(BeNil(), "full reports tell it")
}

// Pattern: one router of five is late; a router that has just started knows nothing.
func TestMiddleOfAllEstimatesHolds(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 2)
	for node, speed := range map[fleet.NodeID]admission.EngineSpeed{
		"b": {Rate: rate, Overhead: overhead}, "c": {Rate: 1.1 * rate, Overhead: overhead},
		"d": {Rate: 0.9 * rate, Overhead: overhead}, "late": {Rate: rate / 8, Overhead: 5 * overhead},
	} {
		w.s.ApplyPeerReport(w.now, node, admission.Report{Full: true, Speed: &speed})
	}
	w.Expect(w.s.View(w.now).PrefillRate).To(BeNumerically("==", rate))
	w.Expect(w.s.View(w.now).OverheadMs).To(Equal(overhead.Milliseconds()))
	w.s.RemovePeer("b")
	w.s.RemovePeer("c")
	w.s.RemovePeer("d")
	w.s.RemovePeer("late")
	w.Expect(w.s.View(w.now).PrefillRate).To(BeNumerically("==", rate), "the initial one")
}
