package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// rate is the prompt tokens that the tests' engines read in a second.
	rate      = 50_000
	overhead  = 50 * time.Millisecond
	objective = 600 * time.Millisecond
)

var start = time.Unix(1000, 0)

func options() admission.Options {
	return admission.Options{
		Local:    fleet.Location{Region: "r1", FailureDomain: "d1"},
		Regions:  map[fleet.FailureDomainID]fleet.RegionID{"d1": "r1", "d2": "r2"},
		Replicas: 2, PrefillRate: rate, Overhead: overhead, AttentionTokens: 1e9,
		MaxWait: 0.75, OverShareWait: 0.35, ReturnWait: 0.9, SlotLimit: 1, MemoryLimit: 0.7,
		Window: 4 * time.Second, PeerTTL: time.Second,
		Outlier: outlier.Options{BaseEjection: time.Second, MaxEjection: 8 * time.Second, BrokenInARow: 2, Smoothing: 0.1},
	}
}

func engineCapacity() admission.Capacity {
	return admission.Capacity{Slots: 64, MemoryTokens: 500_000}
}

// world drives a scheduler over engines that read prompts in order of arrival.
type world struct {
	*GomegaWithT
	s   *admission.Scheduler
	now time.Time
	n   int
	// free is when each engine has read what it was sent.
	free map[fleet.UpstreamID]time.Time
	// due holds the first events to come.
	due []firstEvent
}

type firstEvent struct {
	id string
	at time.Time
}

func newWorld(t *testing.T, o admission.Options, c admission.Capacity, count int) *world {
	w := &world{GomegaWithT: NewWithT(t), s: admission.NewScheduler(o, c), now: start, free: map[fleet.UpstreamID]time.Time{}}
	w.s.SetUpstreams(upstreams(count))
	return w
}

func upstreams(count int) []registry.Upstream {
	var list []registry.Upstream
	for i := range count {
		list = append(list, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("u%02d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "d1", Slots: 6,
		})
	}
	return list
}

// pass moves the time on and delivers the first events until then.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	var later []firstEvent
	for _, event := range w.due {
		if event.at.After(w.now) {
			later = append(later, event)
			continue
		}
		w.s.FirstEvent(event.at, event.id)
		w.s.End(event.at, event.id, outlier.Success)
	}
	w.due = later
}

// ask sends a request of a team and lets the engine read it.
func (w *world) ask(team fleet.TeamID, prompt placement.Prompt) (admission.Decision, string) {
	w.n++
	id := fmt.Sprint("request-", w.n)
	d := w.s.Admit(w.now, admission.Request{ID: id, Team: team, Prompt: prompt, OutputTokens: 50, Objective: objective})
	if d.Admitted {
		begin := w.free[d.Upstream.ID]
		if begin.Before(w.now) {
			begin = w.now
		}
		end := begin.Add(time.Duration(float64(d.Prefill) / rate * float64(time.Second)))
		w.free[d.Upstream.ID] = end
		w.due = append(w.due, firstEvent{id: id, at: end.Add(overhead)})
	}
	return d, id
}

// shared returns a prompt with long shared parts and a short own one.
func shared(topic, own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(topic), Tokens: 10_000}, {ID: uint64(1_000_000 + own), Tokens: 2000}}
}

// short returns a prompt that any engine may read.
func short(own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(2_000_000 + own), Tokens: 2500}}
}

// Pattern: more prompts than engines can read in time.
func TestOverloadIsRefusedAtOnceAndTheRestIsOnTime(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	admitted, refused, late := 0, 0, 0
	for i := range 4000 {
		w.pass(5 * time.Millisecond) // 500,000 tokens a second for 200,000.
		d, _ := w.ask(fleet.TeamID(fmt.Sprint("team-", i%8)), short(i))
		if !d.Admitted {
			refused++
			w.Expect(d.RetryAfter).To(BeNumerically(">", 0))
			continue
		}
		admitted++
		if w.free[d.Upstream.ID].Sub(w.now)+overhead > objective {
			late++
		}
	}
	w.Expect(late).To(BeZero())
	// The engines are busy all the time: 80 prompts a second for 20 s.
	w.Expect(admitted).To(BeNumerically(">", 1500))
	w.Expect(refused).To(BeNumerically(">", 2000))
}

// Pattern: one team sends seven times its usual beside small ones.
func TestHotTeamLeavesTheOthersTheirShare(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	asked, served := map[fleet.TeamID]int{}, map[fleet.TeamID]int{}
	const settle = 400
	for i := range 4000 {
		w.pass(5 * time.Millisecond)
		team := fleet.TeamID("hot")
		if i%5 == 0 {
			team = fleet.TeamID(fmt.Sprint("small-", i/5%4))
		}
		d, _ := w.ask(team, short(i))
		if i < settle {
			continue
		}
		asked[team]++
		if d.Admitted {
			served[team]++
		}
	}
	for _, team := range []fleet.TeamID{"small-0", "small-1", "small-2", "small-3"} {
		w.Expect(float64(served[team])/float64(asked[team])).To(BeNumerically(">", 0.95), string(team))
	}
	// Nothing idles: the hot team has what the others leave.
	w.Expect(served["hot"]).To(BeNumerically(">", 600))
}

// Pattern: one team alone asks for more than its share of an idle fleet.
func TestNoTeamWaitsWhileEnginesHaveRoom(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	for i := range 2000 {
		w.pass(20 * time.Millisecond) // 125,000 tokens a second for 200,000.
		d, _ := w.ask("only", short(i))
		w.Expect(d.Admitted).To(BeTrue())
	}
}

// Pattern: many requests with few long common prefixes.
func TestSharedPartsStayOnFewEngines(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 12)
	seen := map[int]map[fleet.UpstreamID]bool{}
	for i := range 3000 {
		w.pass(20 * time.Millisecond)
		topic := i % 30
		d, _ := w.ask("team", shared(topic, i))
		if !d.Admitted {
			continue
		}
		if seen[topic] == nil {
			seen[topic] = map[fleet.UpstreamID]bool{}
		}
		seen[topic][d.Upstream.ID] = true
	}
	for topic, engines := range seen {
		w.Expect(len(engines)).To(BeNumerically("<=", 2), fmt.Sprint(topic))
	}
}

// Pattern: a fleet that has just started, with more new prefixes at once than their
// homes read in time while other engines are idle.
func TestNewPrefixesUseAllEnginesWhileTheirMemoryHasRoom(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	w := newWorld(t, options(), capacity, 12)
	const prefixes = 12 // Within 60 ms, 0.24 s of work each for 12 engines.
	for topic := range prefixes {
		w.pass(5 * time.Millisecond)
		d, _ := w.ask("team", shared(topic, topic))
		w.Expect(d.Admitted).To(BeTrue(), fmt.Sprint(topic))
		w.Expect(w.free[d.Upstream.ID].Sub(w.now) + overhead).To(BeNumerically("<", objective))
	}
	w.pass(5 * time.Second)
	// They are found again where they were read.
	for topic := range prefixes {
		w.pass(20 * time.Millisecond)
		d, _ := w.ask("team", shared(topic, 100+topic))
		w.Expect(d.Prefill).To(Equal(2000), fmt.Sprint(topic))
		w.Expect(d.CopyFrom).To(BeEmpty(), fmt.Sprint(topic))
	}
}

// Pattern: more prefixes than all memories hold.
func TestNewPrefixesStayAtTheirHomesOnceMemoriesAreFull(t *testing.T) {
	capacity := engineCapacity()
	capacity.MemoryTokens = 40_000
	w := newWorld(t, options(), capacity, 6)
	for topic := range 60 {
		w.pass(time.Second)
		w.ask("team", shared(topic, topic))
	}
	engines := map[fleet.UpstreamID]bool{}
	for i := range 20 {
		w.pass(time.Millisecond)
		if d, _ := w.ask("team", shared(500, 1000+i)); d.Admitted {
			engines[d.Upstream.ID] = true
		}
	}
	w.Expect(len(engines)).To(BeNumerically("<=", 2))
}

// Pattern: one prompt prefix is hotter than one engine can serve.
func TestHotPrefixIsCopiedToItsSecondHome(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	w := newWorld(t, options(), capacity, 12)
	copies := 0
	for i := range 400 {
		w.pass(25 * time.Millisecond) // 80,000 tokens a second for one engine's 50,000.
		d, _ := w.ask("team", shared(7, i))
		w.Expect(d.Admitted).To(BeTrue())
		if d.CopyFrom != "" {
			copies++
			w.Expect(d.CopyFrom).NotTo(Equal(d.Upstream.Address))
			w.Expect(d.Prefill).To(Equal(2000))
		}
	}
	w.Expect(copies).To(Equal(1))
}

// Pattern: prompts that are late by themselves.
func TestLongPromptIsServedWhereNothingWaits(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 2)
	long := placement.Prompt{{ID: 1, Tokens: 40_000}}
	d, _ := w.ask("team", long)
	w.Expect(d.Admitted).To(BeTrue())
	w.Expect(d.Predicted).To(BeNumerically(">", objective))
	w.ask("team", placement.Prompt{{ID: 2, Tokens: 40_000}})
	d, _ = w.ask("team", placement.Prompt{{ID: 3, Tokens: 40_000}})
	w.Expect(d.Admitted).To(BeFalse())
	w.Expect(d.Reason).To(Equal(admission.Overloaded))
}

// Pattern: several routers send to the same engines.
func TestOtherRoutersLoadCountsUntilItIsStale(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.s.PeerReport(w.now, "other", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 100_000, Running: 3}},
	})
	d, _ := w.ask("team", short(1))
	w.Expect(d.Admitted).To(BeFalse())
	w.s.PeerLost("other")
	d, _ = w.ask("team", short(1))
	w.Expect(d.Admitted).To(BeTrue())
}

func TestOtherRoutersPromptsAreFoundCached(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.s.PeerReport(w.now, "other", admission.Report{
		Prompts: []admission.SentPrompt{{Upstream: "u00", Prompt: shared(3, 1)}},
	})
	d, _ := w.ask("team", shared(3, 2))
	w.Expect(d.Prefill).To(Equal(2000))
}

// Pattern: several routers choose the same idle engine within one interval.
func TestMuchWorkIsUrgentNewsUntilItIsReported(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 4)
	w.ask("team", placement.Prompt{{ID: 1, Tokens: 2000}}) // 40 ms of work.
	w.Expect(w.s.Urgent()).To(BeFalse())
	w.ask("team", placement.Prompt{{ID: 2, Tokens: 2000}})
	w.Expect(w.s.Urgent()).To(BeTrue())
	w.s.Report(w.now, false)
	w.Expect(w.s.Urgent()).To(BeFalse())
}

func TestReportNamesEachPromptOnce(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	_, id := w.ask("team", shared(3, 1))
	report := w.s.Report(w.now, true)
	w.Expect(report.Prompts).To(HaveLen(1))
	w.Expect(report.Upstreams["u00"]).To(Equal(admission.UpstreamLoad{Prefill: 12_000, Running: 1, Memory: 2050}))
	w.Expect(report.Teams["team"].Served).To(Equal(report.Teams["team"].Asked))
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
		other.PeerReport(w.now, "first", report)
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

// Pattern: engines crash while they run requests.
func TestCrashedEngineIsLeftOutAndForgotten(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 2)
	d, id := w.ask("team", shared(5, 1))
	w.Expect(w.s.End(w.now, id, outlier.Unreachable)).To(BeTrue())
	for i := range 5 {
		next, _ := w.ask("team", shared(5, 10+i))
		w.Expect(next.Upstream.ID).NotTo(Equal(d.Upstream.ID))
	}
	w.pass(2 * time.Second)
	// Its cache is taken to be empty.
	back := w.s.Admit(w.now, admission.Request{
		ID: "back", Team: "team", Prompt: shared(5, 99), Objective: objective,
		Exclude: []fleet.UpstreamID{map[fleet.UpstreamID]fleet.UpstreamID{"u00": "u01", "u01": "u00"}[d.Upstream.ID]},
	})
	w.Expect(back.Admitted).To(BeTrue())
	w.Expect(back.Prefill).To(Equal(12_000))
}

func TestRestartedEngineIsANewOne(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.ask("team", shared(5, 1))
	list := upstreams(1)
	list[0].StartedUnixMs = 77
	w.s.SetUpstreams(list)
	w.Expect(w.s.Report(w.now, true).Upstreams).To(BeEmpty())
	d, _ := w.ask("team", shared(5, 2))
	w.Expect(d.Prefill).To(Equal(12_000))
}

func TestSlotsAndMemoryBoundAnEngine(t *testing.T) {
	w := newWorld(t, options(), admission.Capacity{Slots: 2, MemoryTokens: 500_000}, 1)
	tiny := func(i int) placement.Prompt { return placement.Prompt{{ID: uint64(i), Tokens: 10}} }
	w.ask("team", tiny(1))
	w.ask("team", tiny(2))
	d, _ := w.ask("team", tiny(3))
	w.Expect(d.Admitted).To(BeFalse())

	w = newWorld(t, options(), admission.Capacity{Slots: 64, MemoryTokens: 3000}, 1)
	w.ask("team", placement.Prompt{{ID: 1, Tokens: 1900}})
	d, _ = w.ask("team", placement.Prompt{{ID: 2, Tokens: 200}})
	w.Expect(d.Admitted).To(BeFalse())
}

func TestNoUpstream(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 0)
	d, _ := w.ask("team", short(1))
	w.Expect(d.Admitted).To(BeFalse())
	w.Expect(d.Reason).To(Equal(admission.NoUpstream))
	w.Expect(d.RetryAfter).To(Equal(time.Second))
}

func TestAllEjectedAreStillTried(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	_, id := w.ask("team", short(1))
	w.s.End(w.now, id, outlier.Unreachable)
	d, _ := w.ask("team", short(2))
	w.Expect(d.Admitted).To(BeTrue())
}

func TestPrefillRateIsLearnt(t *testing.T) {
	o := options()
	o.PrefillRate = rate / 2
	w := newWorld(t, o, engineCapacity(), 1)
	first, _ := w.ask("team", placement.Prompt{{ID: 1, Tokens: 20_000}})
	for i := range 200 {
		w.pass(500 * time.Millisecond)
		w.ask("team", placement.Prompt{{ID: uint64(i + 2), Tokens: 20_000}})
	}
	w.pass(time.Second)
	last, _ := w.ask("team", placement.Prompt{{ID: 999, Tokens: 20_000}})
	w.Expect(first.Predicted).To(BeNumerically("~", 850*time.Millisecond, time.Millisecond))
	w.Expect(last.Predicted).To(BeNumerically("~", 450*time.Millisecond, 30*time.Millisecond))
}

func TestEndOfAnUnknownRequestChangesNothing(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	w.Expect(w.s.End(w.now, "none", outlier.Broken)).To(BeFalse())
	w.s.FirstEvent(w.now, "none")
	w.s.Cancel(w.now, "none")
	w.Expect(w.s.Report(w.now, true).Upstreams).To(BeEmpty())
}

// Pattern: refused callers come back once.
func TestReturningCallerGoesAheadWhileItMayBeOnTime(t *testing.T) {
	w := newWorld(t, options(), engineCapacity(), 1)
	// A backlog of 0.4 s: new requests would need more than their limit.
	w.s.PeerReport(w.now, "other", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u00": {Prefill: 20_000, Running: 3}},
	})
	admit := func(id string, waited time.Duration) bool {
		d := w.s.Admit(w.now, admission.Request{ID: id, Team: "team", Prompt: short(1), Objective: objective, Waited: waited})
		w.s.Cancel(w.now, id)
		return d.Admitted
	}
	w.Expect(admit("new", 0)).To(BeFalse())
	w.Expect(admit("back", 100*time.Millisecond)).To(BeTrue())
	w.Expect(admit("late", objective)).To(BeFalse())
}
