package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
)

// Guards against charging a team for requests that ended before their first token.
func TestOnlyStartedRequestsCountAsServed(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	const cost = 2500 + 2*50
	served := func() float64 { return sim.scheduler.View(sim.now).Teams["team"].Served }
	_, id := sim.send("team", short(1))
	sim.Expect(served()).To(BeNumerically("==", cost), "charged until the outcome is known")
	sim.scheduler.Cancel(sim.now, id)
	sim.Expect(served()).To(BeZero(), "the caller disconnected before the request was sent")
	_, id = sim.send("team", short(2))
	sim.scheduler.End(sim.now, id, outlier.Broken)
	sim.Expect(served()).To(BeZero(), "the engine crashed before the first token")
	_, id = sim.send("team", short(3))
	sim.scheduler.FirstEvent(sim.now, id)
	sim.scheduler.Cancel(sim.now, id)
	sim.Expect(served()).To(BeNumerically("==", cost), "the caller disconnected during the answer")
	sim.Expect(sim.scheduler.View(sim.now).Teams["team"].Requested).To(BeNumerically("==", 3*cost))
}

func TestRepeatedAndResumedRequestsCountOnce(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	request := admission.Request{ID: "1", Team: "team", Prompt: short(1), OutputTokens: 50, Objective: objective}
	d := sim.scheduler.Admit(sim.now, request)
	sim.scheduler.End(sim.now, "1", outlier.Broken)
	request.ID, request.Exclude = "2", []fleet.UpstreamID{d.Upstream.ID}
	d = sim.scheduler.Admit(sim.now, request)
	sim.scheduler.FirstEvent(sim.now, "2")
	sim.scheduler.End(sim.now, "2", outlier.Broken)
	request.ID, request.Exclude, request.AlreadyCharged = "3", append(request.Exclude, d.Upstream.ID), true
	sim.scheduler.Admit(sim.now, request)
	sim.scheduler.FirstEvent(sim.now, "3")
	sim.scheduler.End(sim.now, "3", outlier.Success)
	usage := sim.scheduler.View(sim.now).Teams["team"]
	sim.Expect(usage.Served).To(BeNumerically("==", 2600))
	sim.Expect(usage.Requested).To(BeNumerically("==", 2600))
}

// Guards against charging a team for canceled requests, which would cost it its share under
// overload. This happens at a router that is short of processor time: most callers of the
// team disconnect before their requests are prefilled.
func TestTeamWhoseCallersDisconnectBeforePrefillKeepsItsShare(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	served := map[fleet.TeamID]int{}
	for i := range 8000 {
		sim.advance(2 * time.Millisecond)
		team := fleet.TeamID("patient")
		if i%2 == 0 {
			team = "hasty"
		}
		idleAt := sim.cloneIdleAt()
		d, id := sim.send(team, short(i))
		switch {
		case !d.Admitted:
		case team == "hasty" && i%20 != 0:
			sim.cancelBeforePrefill(id, idleAt)
		default:
			served[team]++
		}
	}
	sim.Expect(served["hasty"]).To(BeNumerically(">", 300), "of 400 requests whose callers stay")
}

// Guards against a team with far more requests than the others taking every free slot in
// the queue first.
func TestTeamFarOverItsShareIsRefusedWhileOthersQueue(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 1)
	report := func(backlog int, hot float64) admission.Report {
		return admission.Report{
			Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: backlog}},
			Teams: admission.Usage{
				{Team: "hot"}: {Requested: 900_000, Served: hot}, {Team: "a"}: {Requested: 200_000, Served: 100_000}, {Team: "b"}: {Requested: 200_000, Served: 100_000},
			},
		}
	}
	admit := func(backlog int, hot float64) bool {
		sim.requests++
		sim.now = sim.now.Add(time.Second)
		sim.scheduler.ApplyPeerReport(sim.now, "other", report(backlog, hot))
		d, id := sim.send("hot", short(sim.requests))
		sim.scheduler.Cancel(sim.now, id)
		return d.Admitted
	}
	// The prediction is 0.2 s; a team over its share may wait 0.21 s.
	sim.Expect(admit(5000, 115_000)).To(BeTrue(), "slightly over its share")
	sim.Expect(admit(5000, 300_000)).To(BeFalse(), "far over its share")
	sim.Expect(admit(0, 300_000)).To(BeTrue(), "no backlog")
}
