package admission_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Pattern: several routers send to the same engines.
func TestOtherRoutersLoadCountsUntilItIsStale(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.s.ApplyPeerReport(w.now, "other", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 100_000, Running: 3}},
	})
	d, _ := w.ask("team", short(1))
	w.Expect(d.Admitted).To(BeFalse())
	w.s.RemovePeer("other")
	d, _ = w.ask("team", short(1))
	w.Expect(d.Admitted).To(BeTrue())
}

func TestOtherRoutersPromptsAreFoundCached(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.s.ApplyPeerReport(w.now, "other", admission.Report{
		Prompts: []admission.SentPrompt{{Upstream: "u00", Prompt: shared(3, 1)}},
	})
	d, _ := w.ask("team", shared(3, 2))
	w.Expect(d.Prefill).To(Equal(2000))
}

// Pattern: several routers choose the same idle engine within one interval.
func TestMuchWorkIsUrgentNewsUntilItIsReported(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	w.ask("team", placement.Prompt{{ID: 1, Tokens: 2000}}) // 40 ms of work.
	w.Expect(w.s.ReportUrgent()).To(BeFalse())
	w.ask("team", placement.Prompt{{ID: 2, Tokens: 2000}})
	w.Expect(w.s.ReportUrgent()).To(BeTrue())
	w.s.Report(w.now, false)
	w.Expect(w.s.ReportUrgent()).To(BeFalse())
}

func TestReportNamesEachPromptOnce(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	_, id := w.ask("team", shared(3, 1))
	report := w.s.Report(w.now, true)
	w.Expect(report.Prompts).To(HaveLen(1))
	w.Expect(report.Upstreams["u00"]).To(Equal(admission.UpstreamLoad{Prefill: 12_000, Running: 1, Memory: 2050}))
	w.Expect(report.Teams["team"].Served).To(Equal(report.Teams["team"].Requested))
	w.s.End(w.now, id, outlier.Success)
	report = w.s.Report(w.now, true)
	w.Expect(report.Prompts).To(BeEmpty())
	w.Expect(report.Upstreams).To(BeEmpty())
}

func TestShortReportsNameChangesOnly(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 3)
	other := admission.NewScheduler(options(), engineCapacity())
	other.SetUpstreams(upstreams(3))
	tell := func(full bool) admission.Report {
		report := w.s.Report(w.now, full)
		other.ApplyPeerReport(w.now, "first", report)
		return report
	}
	tell(true)
	first, id := w.ask("team", short(1))
	w.Expect(tell(false).Upstreams).To(HaveLen(1))
	w.Expect(tell(false).Upstreams).To(BeEmpty())
	w.Expect(tell(false).Teams).To(BeNil())
	w.Expect(other.View(w.now).Upstreams[first.Upstream.ID].Running).To(Equal(1))
	w.Expect(other.View(w.now).Teams).To(BeEmpty())
	w.s.End(w.now, id, outlier.Success)
	w.Expect(tell(false).Upstreams).To(HaveKeyWithValue(first.Upstream.ID, admission.UpstreamLoad{}))
	w.Expect(other.View(w.now).Upstreams[first.Upstream.ID].Running).To(BeZero())
	w.Expect(tell(true).Teams).To(HaveKey(fleet.TeamID("team")))
	w.Expect(other.View(w.now).Teams).To(HaveKey(fleet.TeamID("team")))
}
