package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
)

// Guards against requests that count as served though nothing of them began.
func TestOnlyWhatBeganCountsAsServed(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	const cost = 2500 + 2*50
	served := func() float64 { return w.s.View(w.now).Teams["team"].Served }
	_, id := w.ask("team", short(1))
	w.Expect(served()).To(BeNumerically("==", cost), "until its fate is known")
	w.s.Cancel(w.now, id)
	w.Expect(served()).To(BeZero(), "the caller left before it was sent")
	_, id = w.ask("team", short(2))
	w.s.End(w.now, id, outlier.Broken)
	w.Expect(served()).To(BeZero(), "the engine crashed before the first token")
	_, id = w.ask("team", short(3))
	w.s.FirstEvent(w.now, id)
	w.s.Cancel(w.now, id)
	w.Expect(served()).To(BeNumerically("==", cost), "the caller left within the answer")
	w.Expect(w.s.View(w.now).Teams["team"].Requested).To(BeNumerically("==", 3*cost))
}

func TestRepeatedAndResumedRequestsCountOnce(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	request := admission.Request{ID: "1", Team: "team", Prompt: short(1), OutputTokens: 50, Objective: objective}
	d := w.s.Admit(w.now, request)
	w.s.End(w.now, "1", outlier.Broken)
	request.ID, request.Exclude = "2", []fleet.UpstreamID{d.Upstream.ID}
	d = w.s.Admit(w.now, request)
	w.s.FirstEvent(w.now, "2")
	w.s.End(w.now, "2", outlier.Broken)
	request.ID, request.Exclude, request.AlreadyCharged = "3", append(request.Exclude, d.Upstream.ID), true
	w.s.Admit(w.now, request)
	w.s.FirstEvent(w.now, "3")
	w.s.End(w.now, "3", outlier.Success)
	usage := w.s.View(w.now).Teams["team"]
	w.Expect(usage.Served).To(BeNumerically("==", 2600))
	w.Expect(usage.Requested).To(BeNumerically("==", 2600))
}

// Pattern: too much work, and the callers of one team leave before their requests are
// read, as at a router that is short of processor time.
func TestTeamWhoseCallersLeaveUnreadKeepsItsShare(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	served := map[fleet.TeamID]int{}
	for i := range 8000 {
		w.pass(2 * time.Millisecond)
		team := fleet.TeamID("patient")
		if i%2 == 0 {
			team = "hasty"
		}
		free := w.copyFree()
		d, id := w.ask(team, short(i))
		switch {
		case !d.Admitted:
		case team == "hasty" && i%20 != 0:
			w.take(id, free)
		default:
			served[team]++
		}
	}
	w.Expect(served["hasty"]).To(BeNumerically(">", 300), "of 400 whose callers are there")
}

// Pattern: a team sends so much more than others that it fills each gap first.
func TestTeamFarOverItsShareLeavesTheQueueToOthers(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	report := func(backlog int, hot float64) admission.Report {
		return admission.Report{
			Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: backlog}},
			Teams: admission.Usage{
				"hot": {Requested: 900_000, Served: hot}, "a": {Requested: 200_000, Served: 100_000}, "b": {Requested: 200_000, Served: 100_000},
			},
		}
	}
	admit := func(backlog int, hot float64) bool {
		w.n++
		w.now = w.now.Add(time.Second)
		w.s.ApplyPeerReport(w.now, "other", report(backlog, hot))
		d, id := w.ask("hot", short(w.n))
		w.s.Cancel(w.now, id)
		return d.Admitted
	}
	// Predicted for 0.2 s, of 0.21 s that a team over its share may wait.
	w.Expect(admit(5000, 115_000)).To(BeTrue(), "little over its share")
	w.Expect(admit(5000, 300_000)).To(BeFalse(), "far over it")
	w.Expect(admit(0, 300_000)).To(BeTrue(), "nobody waits")
}
