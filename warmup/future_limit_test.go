package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/warmup"
)

// TestLimitOfAnotherIncarnationDoesNotBind guards against an upstream that gets a request every
// four seconds for good: the limit that a router reports is of an incarnation that is not
// registered, so that no response of the upstream ends it.
func TestLimitOfAnotherIncarnationDoesNotBind(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	registered := warmup.Upstream{ID: "u", StartedUnixMs: 5}
	later := warmup.Upstream{ID: "u", StartedUnixMs: 6}
	limited := func(tracker *warmup.Tracker) bool {
		_, _, ok := tracker.Limit("u")
		return ok
	}
	for name, steps := range map[string]func(*warmup.Tracker){
		"registered before": func(tracker *warmup.Tracker) {
			tracker.RegisterUpstreams(now, []warmup.Upstream{registered})
			tracker.MergeLimit(now, warmup.NamedLimit{Upstream: later, Version: 1})
		},
		"registered after": func(tracker *warmup.Tracker) {
			tracker.MergeLimit(now, warmup.NamedLimit{Upstream: later, Version: 1})
			tracker.RegisterUpstreams(now, []warmup.Upstream{registered})
		},
	} {
		tracker := warmup.NewTracker(warmup.Limits{})
		steps(tracker)
		g.Expect(limited(tracker)).To(BeFalse(), name)
		g.Expect(tracker.WithinLimit(now, "u", 0)).To(BeTrue(), name)
		rate := 3.0
		_, changed := tracker.ObserveLimit(now, now, registered, &rate)
		g.Expect(changed).To(BeTrue(), name)
		g.Expect(limited(tracker)).To(BeTrue(), name)
		g.Expect(tracker.MergeLimit(now, warmup.NamedLimit{Upstream: later, Version: 9})).To(BeFalse(), name)
		g.Expect(limited(tracker)).To(BeTrue(), "%s: the limit of the registered one binds", name)
	}
}

// TestLimitThatIsHeardBeforeTheRegistrationBinds guards against the loss of a limit of which a
// router hears before the upstream's new registration.
func TestLimitThatIsHeardBeforeTheRegistrationBinds(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	tracker := warmup.NewTracker(warmup.Limits{})
	tracker.RegisterUpstreams(now, []warmup.Upstream{{ID: "u", StartedUnixMs: 5}})
	later := warmup.Upstream{ID: "u", StartedUnixMs: 6}
	g.Expect(tracker.MergeLimit(now, warmup.NamedLimit{Upstream: later, Rate: 2, Version: 1})).To(BeTrue())
	tracker.RegisterUpstreams(now, []warmup.Upstream{later})
	limit, _, ok := tracker.Limit("u")
	g.Expect(ok).To(BeTrue())
	g.Expect(limit.Rate).To(BeNumerically("==", 2))
}

// TestLimitOutlivesAGapOfTheRegistration guards against the loss of a limit that has been named for
// long, because the upstream's entry can't be read for a moment.
func TestLimitOutlivesAGapOfTheRegistration(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	u := warmup.Upstream{ID: "u", StartedUnixMs: 5}
	tracker := warmup.NewTracker(warmup.Limits{})
	tracker.RegisterUpstreams(now, []warmup.Upstream{u})
	rate := 3.0
	tracker.ObserveLimit(now, now, u, &rate)
	now = now.Add(time.Hour)
	for _, list := range [][]warmup.Upstream{{u}, nil, {u}, nil} {
		now = now.Add(time.Second)
		tracker.RegisterUpstreams(now, list)
		_, _, ok := tracker.Limit("u")
		g.Expect(ok).To(BeTrue())
	}
	tracker.RegisterUpstreams(now.Add(time.Hour), nil)
	_, _, ok := tracker.Limit("u")
	g.Expect(ok).To(BeFalse(), "it is gone for good")
}
