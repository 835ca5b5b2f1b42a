package admission_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Guards against overloading engines that several routers send to.
func TestPeerLoadCountsUntilPeerIsRemoved(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 1)
	sim.scheduler.ApplyPeerReport(sim.now, "other", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 100_000, Running: 3}},
	})
	d, _ := sim.send("team", short(1))
	sim.Expect(d.Admitted).To(BeFalse())
	sim.scheduler.RemovePeer("other")
	d, _ = sim.send("team", short(1))
	sim.Expect(d.Admitted).To(BeTrue())
}

func TestPeerPromptsCountAsCached(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 1)
	sim.scheduler.ApplyPeerReport(sim.now, "other", admission.Report{
		Prompts: []admission.SentPrompt{{Upstream: "u00", Prompt: shared(3, 1)}},
	})
	d, _ := sim.send("team", shared(3, 2))
	sim.Expect(d.Prefill).To(Equal(2000))
}

// Guards against several routers choosing the same idle engine within one report interval.
func TestUnreportedWorkMakesReportUrgent(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	sim.send("team", placement.Prompt{{ID: 1, Tokens: 2000}}) // 40 ms of prefill; 50 ms are urgent.
	sim.Expect(sim.scheduler.ReportUrgent()).To(BeFalse())
	sim.send("team", placement.Prompt{{ID: 2, Tokens: 2000}})
	sim.Expect(sim.scheduler.ReportUrgent()).To(BeTrue())
	sim.scheduler.Report(sim.now, false)
	sim.Expect(sim.scheduler.ReportUrgent()).To(BeFalse())
}

func TestReportListsEachPromptOnce(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 1)
	_, id := sim.send("team", shared(3, 1))
	report := sim.scheduler.Report(sim.now, true)
	sim.Expect(report.Prompts).To(HaveLen(1))
	sim.Expect(report.Upstreams["u00"]).To(Equal(admission.UpstreamLoad{Prefill: 12_000, Running: 1, Memory: 2050}))
	account := admission.Account{Team: "team"}
	sim.Expect(report.Teams[account].Served).To(Equal(report.Teams[account].Requested))
	sim.scheduler.End(sim.now, id, outlier.Success)
	report = sim.scheduler.Report(sim.now, true)
	sim.Expect(report.Prompts).To(BeEmpty())
	sim.Expect(report.Upstreams).To(BeEmpty())
}

func TestIncrementalReportsListChangesOnly(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 3)
	other := admission.NewScheduler(options(), engineCapacity())
	other.SetUpstreams(upstreams(3))
	report := func(full bool) admission.Report {
		report := sim.scheduler.Report(sim.now, full)
		other.ApplyPeerReport(sim.now, "first", report)
		return report
	}
	report(true)
	first, id := sim.send("team", short(1))
	sim.Expect(report(false).Upstreams).To(HaveLen(1))
	sim.Expect(report(false).Upstreams).To(BeEmpty())
	sim.Expect(report(false).Teams).To(BeNil())
	sim.Expect(other.View(sim.now).Upstreams[first.Upstream.ID].Running).To(Equal(1))
	sim.Expect(other.View(sim.now).Teams).To(BeEmpty())
	sim.scheduler.End(sim.now, id, outlier.Success)
	sim.Expect(report(false).Upstreams).To(HaveKeyWithValue(first.Upstream.ID, admission.UpstreamLoad{}))
	sim.Expect(other.View(sim.now).Upstreams[first.Upstream.ID].Running).To(BeZero())
	sim.Expect(report(true).Teams).To(HaveKey(admission.Account{Team: "team"}))
	sim.Expect(other.View(sim.now).Teams).To(HaveKey(fleet.TeamID("team")))
}
