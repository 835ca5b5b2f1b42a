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

// startedAt returns the incarnation of the upstream of the tests that started at a time; the zero
// time stands for an unknown start.
func startedAt(at time.Time) warmup.Upstream {
	if at.IsZero() {
		return warmup.Upstream{ID: "u1"}
	}
	return warmup.Upstream{ID: "u1", StartedUnixMs: at.UnixMilli()}
}

// entriesThatSayLess are lists of registrations after an upstream, which started at start, has said
// that it leaves or wants a pause. None shows that it started again.
var entriesThatSayLess = map[string][][]warmup.Upstream{
	"unknown start":             {{startedAt(time.Time{})}},
	"unknown start, then sound": {{startedAt(time.Time{})}, {startedAt(start)}},
	"earlier start":             {{startedAt(start.Add(-time.Hour))}},
	"earlier start, then sound": {{startedAt(start.Add(-time.Hour))}, {startedAt(start)}},
	"removed and back":          {nil, {startedAt(start)}},
	"all of them": {
		{startedAt(time.Time{})}, nil, {startedAt(start.Add(-time.Hour))}, {startedAt(time.Time{})}, nil, {startedAt(start)},
	},
}

// Guards against requests to an upstream that leaves or wants a pause, because its entry states no
// start or an earlier one, or was gone, also for longer than an outage of the store (DRAIN, BUDGET).
func TestReportOutlivesEntriesThatSayLess(t *testing.T) {
	for name, lists := range entriesThatSayLess {
		for _, between := range []time.Duration{time.Second, 9 * time.Minute} {
			t.Run(fmt.Sprint(name, ", ", between), func(t *testing.T) {
				g := NewWithT(t)
				now := start.Add(time.Minute)
				tracker := newRegisteredTracker(startedAt(start))
				tracker.MarkLeaving(now, now, startedAt(start))
				tracker.ObservePause(now, now, startedAt(start), warmup.MaxPause)
				for _, list := range lists {
					now = now.Add(between)
					tracker.RegisterUpstreams(now, list)
					g.Expect(tracker.IsLeaving("u1")).To(BeTrue())
					g.Expect(tracker.MayResume(now, "u1")).To(BeFalse())
				}
				g.Expect(tracker.TakeEnded()).To(BeEmpty())
				tracker.RegisterUpstreams(now, []warmup.Upstream{startedAt(now)})
				g.Expect(tracker.IsLeaving("u1")).To(BeFalse(), "it started again")
				g.Expect(tracker.HasPause("u1")).To(BeFalse(), "it started again")
			})
		}
	}
}

// Guards against requests to an upstream whose notice came in an answer to a request that was sent
// while its entry stated no start, or still that of the incarnation before it.
func TestReportHeardBeforeTheEntryOfItsIncarnation(t *testing.T) {
	for name, before := range map[string]warmup.Upstream{
		"unknown start": startedAt(time.Time{}), "the incarnation before it": startedAt(start),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newRegisteredTracker(before)
			restarted := start.Add(10 * time.Second)
			sent, heard := restarted.Add(time.Second), restarted.Add(2*time.Second)
			g.Expect(tracker.MarkLeaving(heard, sent, before)).To(BeTrue())
			tracker.ObservePause(heard, sent, before, time.Minute)
			tracker.RegisterUpstreams(heard, []warmup.Upstream{startedAt(restarted)})
			g.Expect(tracker.IsLeaving("u1")).To(BeTrue())
			g.Expect(tracker.Paused(heard, "u1")).To(BeTrue())
			again := startedAt(heard.Add(time.Second))
			tracker.RegisterUpstreams(heard, []warmup.Upstream{again})
			g.Expect(tracker.IsLeaving("u1")).To(BeFalse())
			g.Expect(tracker.HasPause("u1")).To(BeFalse())
		})
	}
}

// Guards against an upstream that is lost for good because it can't be told which of its
// incarnations said that it leaves, and against a health check that was asked too early.
func TestHealthCheckDecidesWhichIncarnationLeaves(t *testing.T) {
	const interval = 5 * time.Second
	for name, c := range map[string]struct{ said, registered warmup.Upstream }{
		"restarted before the request": {said: startedAt(start.Add(-time.Hour)), registered: startedAt(start)},
		"earlier start":                {said: startedAt(start), registered: startedAt(start.Add(-time.Hour))},
		"unknown start":                {said: startedAt(time.Time{}), registered: startedAt(time.Time{})},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			tracker := newRegisteredTracker(c.said)
			heard := start.Add(time.Minute)
			tracker.MarkLeaving(heard, heard, c.said)
			tracker.RegisterUpstreams(heard, []warmup.Upstream{c.registered})
			g.Expect(tracker.TakeLeavingChecks(heard.Add(time.Second), interval)).To(BeEmpty(), "heard a second ago")
			due := heard.Add(interval)
			g.Expect(tracker.TakeLeavingChecks(due, interval)).To(ConsistOf(c.registered))
			g.Expect(tracker.TakeLeavingChecks(due, interval)).To(BeEmpty(), "asked already")
			g.Expect(tracker.MarkServing(heard.Add(-time.Second), c.registered)).To(BeFalse(), "it said that it leaves after that")
			g.Expect(tracker.MarkServing(due, startedAt(start.Add(time.Hour)))).To(BeFalse(), "another incarnation answered")
			g.Expect(tracker.IsLeaving("u1")).To(BeTrue())
			g.Expect(tracker.MarkServing(due, c.registered)).To(BeTrue())
			g.Expect(tracker.IsLeaving("u1")).To(BeFalse())
		})
	}
}

// Guards against a notice that a late answer of an earlier incarnation replaces while the upstream
// is not registered.
func TestLateResponseDoesNotWeakenANotice(t *testing.T) {
	g := NewWithT(t)
	old, next := startedAt(start), startedAt(start.Add(10*time.Second))
	tracker := newRegisteredTracker(old)
	tracker.RegisterUpstreams(start, []warmup.Upstream{next})
	heard := start.Add(time.Minute)
	tracker.MarkLeaving(heard, heard, next)
	tracker.ObservePause(heard, heard, next, time.Minute)
	tracker.RegisterUpstreams(heard, nil)
	tracker.MarkLeaving(heard, start, old)
	tracker.ObservePause(heard, start, old, 2*time.Minute)
	tracker.RegisterUpstreams(heard, []warmup.Upstream{next})
	g.Expect(tracker.IsLeaving("u1")).To(BeTrue())
	g.Expect(tracker.Paused(heard, "u1")).To(BeTrue())
}

// Guards against notices of registered upstreams that are not kept, because there are many of
// upstreams that are gone, and against notices of these that are kept without bound.
func TestNoticesOfRegisteredUpstreamsAreKeptAtTheBound(t *testing.T) {
	const count, bound = 5000, 4096
	g := NewWithT(t)
	tracker := warmup.NewTracker(warmup.Limits{})
	mark := func(at time.Time, id string) warmup.Upstream {
		u := warmup.Upstream{ID: fleet.UpstreamID(id), StartedUnixMs: start.UnixMilli()}
		tracker.MarkLeaving(at, at, u)
		tracker.ObservePause(at, at, u, time.Minute)
		return u
	}
	var registered []warmup.Upstream
	for i := range count {
		mark(start.Add(time.Duration(i)*time.Millisecond), fmt.Sprint("gone-", i))
		registered = append(registered, mark(start, fmt.Sprint("stays-", i)))
	}
	tracker.RegisterUpstreams(start, registered)
	for _, u := range registered {
		g.Expect(tracker.IsLeaving(u.ID) && tracker.Paused(start, u.ID)).To(BeTrue(), string(u.ID))
	}
	for i := range count {
		id := fleet.UpstreamID(fmt.Sprint("gone-", i))
		kept := i >= count-bound
		g.Expect(tracker.IsLeaving(id)).To(Equal(kept), string(id))
		g.Expect(tracker.HasPause(id)).To(Equal(kept), string(id))
	}
}

// leavingModel is an upstream that starts, says that it leaves and starts again, and what its
// entries state of it meanwhile.
type leavingModel struct {
	now time.Time
	// running is when the running incarnation started. told is set once it has told the router
	// that it leaves.
	running time.Time
	told    bool
	// stated is the registered incarnation.
	stated warmup.Upstream
	// inFlight are the requests without an answer.
	inFlight []leavingRequest
}

type leavingRequest struct {
	sent time.Time
	// to is the registered incarnation when it was sent, and by the one that answers.
	to warmup.Upstream
	by time.Time
}

// Guards, for every interleaving of restarts, entries that are late, lost or of another writer,
// requests and answers, against requests to an incarnation that has told the router that it leaves,
// and against a sound entry of one that has not which gets none.
func TestNoticesInEveryInterleavingOfEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &leavingModel{now: start, running: start, stated: startedAt(start)}
		tracker := newRegisteredTracker(m.stated)
		register := func(list ...warmup.Upstream) { tracker.RegisterUpstreams(m.now, list) }
		actions := map[string]func(){
			"clock": func() { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond) },
			"restart": func() {
				m.now = m.now.Add(time.Millisecond)
				m.running, m.told = m.now, false
				m.now = m.now.Add(time.Millisecond)
			},
			"sound entry": func() {
				m.stated = startedAt(m.running)
				register(m.stated)
				if leaving := tracker.IsLeaving("u1"); leaving != m.told {
					t.Fatalf("leaving %v, want %v", leaving, m.told)
				}
			},
			"unknown start": func() {
				m.stated = startedAt(time.Time{})
				register(m.stated)
			},
			"earlier start": func() {
				m.stated = startedAt(m.running.Add(-time.Duration(rapid.IntRange(1, 100_000).Draw(t, "earlier")) * time.Millisecond))
				register(m.stated)
			},
			"removed": func() { register() },
			"send": func() {
				if tracker.IsLeaving("u1") {
					return
				}
				if m.told {
					t.Fatal("a request reaches an incarnation that has said that it leaves")
				}
				m.inFlight = append(m.inFlight, leavingRequest{sent: m.now, to: m.stated, by: m.running})
				m.now = m.now.Add(time.Millisecond)
			},
			"answer": func() {
				if len(m.inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "request")
				r := m.inFlight[i]
				m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
				if rapid.Bool().Draw(t, "leaves") {
					tracker.MarkLeaving(m.now, r.sent, r.to)
					m.told = m.told || r.by.Equal(m.running)
				}
			},
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			actions[rapid.SampledFrom([]string{
				"clock", "restart", "sound entry", "sound entry", "unknown start", "earlier start", "removed", "send", "send", "send", "answer", "answer",
			}).Draw(t, "action")]()
		}
	})
}
