package warmup_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// incarnation returns an incarnation of the upstream of the tests. The first one started at start,
// each other an hour after the one before it.
func incarnation(number int64) warmup.Upstream {
	return warmup.Upstream{ID: "u1", StartedUnixMs: start.UnixMilli() + (number-1)*time.Hour.Milliseconds()}
}

// newRegisteredTracker returns a tracker that knows the registration of an upstream.
func newRegisteredTracker(u warmup.Upstream) *warmup.Tracker {
	tracker := warmup.NewTracker(warmup.Limits{})
	tracker.RegisterUpstreams(start, []warmup.Upstream{u})
	return tracker
}

// Guards, for the load of an upstream that is full and asks for a pause, against requests to it
// before the pause is over, whatever comes in between.
func TestPauseLastsAsLongAsTheUpstreamAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		lengths []time.Duration
		gap     time.Duration
		want    time.Duration
	}{
		"one":              {lengths: []time.Duration{2 * time.Second}, want: 2 * time.Second},
		"longer one later": {lengths: []time.Duration{2 * time.Second, 5 * time.Second}, gap: time.Second, want: 6 * time.Second},
		"shorter later":    {lengths: []time.Duration{5 * time.Second, time.Second}, gap: time.Second, want: 5 * time.Second},
		"zero":             {lengths: []time.Duration{0}, want: 0},
		"negative":         {lengths: []time.Duration{-time.Second}, want: 0},
		"zero later":       {lengths: []time.Duration{3 * time.Second, 0}, gap: time.Second, want: 3 * time.Second},
		"a fraction":       {lengths: []time.Duration{250 * time.Millisecond}, want: 250 * time.Millisecond},
		"huge":             {lengths: []time.Duration{1 << 62}, want: warmup.MaxPause},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			u := incarnation(1)
			tracker := newRegisteredTracker(u)
			now := start
			for _, length := range c.lengths {
				tracker.ObservePause(now, now, u, length)
				now = now.Add(c.gap)
			}
			if c.want > 0 {
				g.Expect(tracker.MayResume(start.Add(c.want-time.Millisecond), u.ID)).To(BeFalse())
				g.Expect(tracker.NextResume(start, u.ID)).To(Equal(start.Add(c.want)))
			}
			g.Expect(tracker.MayResume(start.Add(c.want), u.ID)).To(BeTrue())
		})
	}
}

// Guards, for the load of many callers that wait for the end of a pause, against an upstream that
// gets all their requests at once, and against one that gets none for ever because a trial got no
// response.
func TestOneRequestFindsOutWhetherAPauseIsOver(t *testing.T) {
	g := NewWithT(t)
	u := incarnation(1)
	tracker := newRegisteredTracker(u)
	tracker.ObservePause(start, start, u, time.Second)
	end := start.Add(time.Second)
	tracker.RecordSend(end, u.ID)
	g.Expect(tracker.MayResume(end.Add(time.Minute), u.ID)).To(BeFalse(), "a request is under way")
	tracker.ObserveResponse(u.ID, start)
	g.Expect(tracker.MayResume(end, u.ID)).To(BeFalse(), "a response to an earlier request says nothing")
	tracker.RecordEnd(u.ID, end)
	g.Expect(tracker.MayResume(end, u.ID)).To(BeTrue(), "it got no response")
	g.Expect(tracker.Paused(end, u.ID)).To(BeFalse())
	tracker.RecordSend(end, u.ID)
	tracker.ObserveResponse(u.ID, end)
	g.Expect(tracker.MayResume(end, u.ID)).To(BeTrue())
	tracker.RecordSend(end, u.ID)
	g.Expect(tracker.MayResume(end, u.ID)).To(BeTrue(), "the pause is over")
}

// Guards against a late refusal of an earlier incarnation that ends the pause of the one which runs,
// and against a pause that outlives its incarnation.
func TestPauseBelongsToAnIncarnation(t *testing.T) {
	g := NewWithT(t)
	old, next := incarnation(1), incarnation(2)
	tracker := newRegisteredTracker(old)
	tracker.ObservePause(start, start, old, time.Minute)
	tracker.RegisterUpstreams(start, []warmup.Upstream{next})
	g.Expect(tracker.MayResume(start, "u1")).To(BeTrue(), "it started again")
	tracker.ObservePause(start, start, next, 2*time.Second)
	g.Expect(tracker.ObservePause(start, start, old, time.Minute)).To(BeFalse())
	g.Expect(tracker.MayResume(start.Add(time.Second), "u1")).To(BeFalse())
	g.Expect(tracker.MayResume(start.Add(2*time.Second), "u1")).To(BeTrue())
}

// Guards, for the load of many gateways whose pauses end at the same moment, against their first
// requests arriving together, and before the end.
func TestGatewaysResumeSpreadOverTime(t *testing.T) {
	g := NewWithT(t)
	const gateways = 40
	list := make(map[fleet.NodeID]fleet.FailureDomainID)
	for i := range gateways {
		list[fleet.NodeID(fmt.Sprintf("g%d", i))] = "d1"
	}
	u := incarnation(1)
	tenths := make(map[int64]int)
	for i := range gateways {
		members := warmup.NewMembers(warmup.MembersOptions{Self: fleet.NodeID(fmt.Sprintf("g%d", i)), Domain: "d1", TTL: time.Hour})
		members.SetRegistered(start.Add(-time.Hour), list)
		tracker := newRegisteredTracker(u)
		tracker.SetFleet(members.Fleet(regions))
		tracker.ObservePause(start, start, u, 4*time.Second)
		late := tracker.NextResume(start, u.ID).Sub(start) - 4*time.Second
		g.Expect(late).To(BeNumerically(">=", 0))
		g.Expect(late).To(BeNumerically("<=", time.Second))
		tenths[late.Milliseconds()/100]++
	}
	for tenth, count := range tenths {
		g.Expect(count).To(BeNumerically("<=", gateways/4), "in tenth %d", tenth)
	}
}

// Guards against a leaving upstream that gets requests because its registration says nothing, and
// against its successor, or one that serves after all, that gets none.
func TestUpstreamThatLeaves(t *testing.T) {
	g := NewWithT(t)
	old, next := incarnation(1), incarnation(2)
	tracker := newRegisteredTracker(old)
	leaves := func() bool {
		_, leaving := tracker.Leaving("u1")
		return leaving
	}
	g.Expect(tracker.MarkLeaving(start, start, old)).To(BeTrue())
	g.Expect(tracker.MarkLeaving(start.Add(time.Second), start.Add(time.Second), old)).To(BeFalse(), "known")
	tracker.RegisterUpstreams(start, []warmup.Upstream{old})
	g.Expect(leaves()).To(BeTrue(), "its registration is renewed")
	tracker.RegisterUpstreams(start, nil)
	tracker.RegisterUpstreams(start.Add(2*time.Second), []warmup.Upstream{old})
	g.Expect(leaves()).To(BeTrue(), "its registration lapsed and came back")

	later := start.Add(10 * time.Second)
	g.Expect(tracker.TakeLeavingChecks(later, 5*time.Second)).To(BeEmpty(), "it is known which one said so")
	g.Expect(tracker.MarkServing(later, old)).To(BeFalse(), "the same incarnation said so")
	g.Expect(leaves()).To(BeTrue())

	tracker.RegisterUpstreams(later, []warmup.Upstream{next})
	g.Expect(leaves()).To(BeFalse(), "it started again")
	g.Expect(tracker.MarkLeaving(later, later, old)).To(BeFalse(), "a late response of the earlier incarnation")
	g.Expect(leaves()).To(BeFalse())
}

// reportModel is what the property test expects of the tracker.
type reportModel struct {
	registered int64
	// leaving holds the incarnations that have said that they leave, and pausedUntil the ends of
	// the pauses that incarnations have asked for.
	leaving     map[int64]bool
	pausedUntil map[int64]time.Time
	// inFlight holds when the unanswered requests were sent.
	inFlight []time.Time
	// trial is when the first request after a pause was sent, while it is unanswered.
	trial time.Time
}

// Guards, for every interleaving of responses, registrations, restarts, requests and the clock,
// against requests to an incarnation that leaves or is paused, against more than one after a pause
// before it is answered, and against an upstream that gets none although nothing speaks against it.
func TestReportsInEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := newRegisteredTracker(incarnation(1))
		model := &reportModel{registered: 1, leaving: map[int64]bool{}, pausedUntil: map[int64]time.Time{}}
		now := start
		actions := map[string]func(){
			"clock": func() { now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond) },
			"leaves": func() {
				from := rapid.Int64Range(1, model.registered).Draw(t, "incarnation")
				tracker.MarkLeaving(now, now, incarnation(from))
				model.leaving[from] = true
			},
			"serves": func() {
				if tracker.MarkServing(now, incarnation(model.registered)) {
					t.Fatal("a health check takes back what the same incarnation said")
				}
			},
			"pause": func() {
				from := rapid.Int64Range(1, model.registered).Draw(t, "incarnation")
				length := time.Duration(rapid.IntRange(-500, 4000).Draw(t, "length")) * time.Millisecond
				changed := tracker.ObservePause(now, now, incarnation(from), length)
				if until := now.Add(length); length > 0 && until.After(model.pausedUntil[from]) {
					model.pausedUntil[from] = until
				}
				if changed && from == model.registered {
					model.trial = time.Time{}
				}
			},
			"answer": func() {
				if len(model.inFlight) == 0 {
					return
				}
				sent := model.inFlight[0]
				model.inFlight = model.inFlight[1:]
				tracker.ObserveResponse("u1", sent)
				tracker.RecordEnd("u1", sent)
				if !sent.Before(model.trial) {
					model.trial = time.Time{}
				}
			},
			"restart": func() {
				model.registered++
				tracker.RegisterUpstreams(now, []warmup.Upstream{incarnation(model.registered)})
				model.inFlight, model.trial = nil, time.Time{}
			},
			"renewal": func() { tracker.RegisterUpstreams(now, []warmup.Upstream{incarnation(model.registered)}) },
			"send": func() {
				_, leaving := tracker.Leaving("u1")
				if leaving != model.leaving[model.registered] {
					t.Fatalf("leaving %v, want %v", leaving, model.leaving[model.registered])
				}
				until, asked := model.pausedUntil[model.registered]
				may := tracker.MayResume(now, "u1")
				switch {
				case may && asked && now.Before(until):
					t.Fatalf("sends %v before the end of the pause", until.Sub(now))
				case may && !model.trial.IsZero():
					t.Fatal("sends a second request before the first one is answered")
				case !may && model.trial.IsZero() && !now.Before(until):
					t.Fatalf("sends nothing %v after the end of the pause", now.Sub(until))
				case !may || leaving:
					return
				}
				if _, paused := tracker.Pause("u1"); paused {
					model.trial = now
				}
				tracker.RecordSend(now, "u1")
				model.inFlight = append(model.inFlight, now)
				now = now.Add(time.Millisecond)
			},
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			actions[rapid.SampledFrom([]string{"clock", "clock", "leaves", "serves", "pause", "answer", "answer", "restart", "renewal", "send", "send", "send"}).Draw(t, "action")]()
		}
	})
}

// Guards against a notice or a pause of an upstream that ends without a trace of why.
func TestEndOfAReportIsRecorded(t *testing.T) {
	g := NewWithT(t)
	old, next := incarnation(1), incarnation(2)
	tracker := newRegisteredTracker(old)
	tracker.MarkLeaving(start, start, old)
	tracker.ObservePause(start, start, old, time.Minute)
	tracker.RegisterUpstreams(start, []warmup.Upstream{old})
	g.Expect(tracker.TakeEnded()).To(BeEmpty())
	tracker.RegisterUpstreams(start, []warmup.Upstream{next})
	ended := warmup.Ended{Said: warmup.SaidLeaving, Upstream: old, HeardAt: start, Cause: warmup.StartedAgain, RegisteredStartUnixMs: next.StartedUnixMs}
	pause := ended
	pause.Said = warmup.SaidPause
	g.Expect(tracker.TakeEnded()).To(ConsistOf(ended, pause))
	g.Expect(tracker.TakeEnded()).To(BeEmpty())
}
