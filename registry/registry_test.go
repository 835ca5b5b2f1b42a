package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func newRegistry() *registry.Registry {
	return registry.New(registry.Options{LapseGrace: grace, TombstoneTTL: time.Minute})
}

func registered(id string, revision uint64) registry.Entry {
	return registry.Entry{Upstream: registry.Upstream{ID: fleet.UpstreamID(id), Service: "s"}, Revision: revision}
}

func draining(id string, revision uint64) registry.Entry {
	s := registered(id, revision)
	s.Upstream.Draining = true
	return s
}

func removed(id string, revision uint64) registry.Entry {
	return registry.Entry{Upstream: registry.Upstream{ID: fleet.UpstreamID(id)}, Revision: revision, Removed: true}
}

func usable(r *registry.Registry, now time.Time) []string {
	var ids []string
	for _, u := range r.Usable(now) {
		ids = append(ids, string(u.ID))
	}
	return ids
}

func TestDrainingAndRemovedUpstreamsAreNotUsable(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2), registered("c", 3)}, 3, time.Time{})
	g.Expect(usable(r, start)).To(Equal([]string{"a", "b", "c"}))
	g.Expect(r.Apply(start, draining("a", 4))).To(BeTrue())
	g.Expect(r.Apply(start, removed("b", 5))).To(BeTrue())
	g.Expect(usable(r, start)).To(Equal([]string{"c"}))
	g.Expect(r.Apply(start, registered("b", 6))).To(BeTrue())
	g.Expect(usable(r, start)).To(Equal([]string{"b", "c"}))
}

func TestOlderEntriesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Apply(start, draining("a", 9))
	g.Expect(r.Apply(start, registered("a", 8))).To(BeFalse())
	g.Expect(r.Apply(start, registered("a", 9))).To(BeFalse())
	r.Replace(start, []registry.Entry{registered("a", 8)}, 8, time.Time{})
	g.Expect(usable(r, start)).To(BeEmpty())
}

func TestStaleListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 5)}, 7, time.Time{})
	r.Replace(start, nil, 6, time.Time{})
	g.Expect(usable(r, start)).To(Equal([]string{"a"}))
}

func TestUpstreamLapsedDuringOutageIsUsableForTheGrace(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2), draining("c", 3)}, 3, time.Time{})
	r.Replace(start, []registry.Entry{registered("b", 2)}, 9, start)
	g.Expect(usable(r, start)).To(Equal([]string{"a", "b"}))
	wake, ok := r.NextWake(start)
	g.Expect(ok).To(BeTrue())
	g.Expect(wake).To(Equal(start.Add(grace)))
	g.Expect(usable(r, wake)).To(Equal([]string{"b"}))
	_, ok = r.NextWake(wake)
	g.Expect(ok).To(BeFalse())
	// The upstream registers again.
	r.Apply(wake, registered("a", 10))
	g.Expect(usable(r, wake)).To(Equal([]string{"a", "b"}))
}

// Guards against an upstream that was removed for good before an outage and stays usable longer
// because the list after the outage came late.
func TestLapseGraceCountsFromTheEndOfTheOutage(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1)}, 1, time.Time{})
	listed := start.Add(grace / 2)
	r.Replace(listed, nil, 2, start)
	g.Expect(usable(r, listed)).To(Equal([]string{"a"}))
	wake, ok := r.NextWake(listed)
	g.Expect(ok).To(BeTrue())
	g.Expect(wake).To(Equal(start.Add(grace)))
	g.Expect(usable(r, wake)).To(BeEmpty())
}

func TestUpstreamMissingWithoutOutageIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1)}, 1, time.Time{})
	r.Replace(start, nil, 2, time.Time{})
	g.Expect(usable(r, start)).To(BeEmpty())
}

func TestEntriesCarryRemovalsToOtherRouters(t *testing.T) {
	g := NewWithT(t)
	source, outdated := newRegistry(), newRegistry()
	for _, r := range []*registry.Registry{source, outdated} {
		r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2)}, 2, time.Time{})
	}
	source.Apply(start, draining("a", 3))
	source.Apply(start, removed("b", 4))
	g.Expect(source.LatestRevision()).To(BeEquivalentTo(4))
	for _, s := range source.Entries() {
		outdated.Apply(start, s)
	}
	g.Expect(usable(outdated, start)).To(BeEmpty())
}

func TestRemovalsExpireAfterTombstoneTTL(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1)}, 1, time.Time{})
	r.Replace(start, nil, 2, time.Time{})
	g.Expect(r.Entries()).To(HaveLen(1))
	r.Replace(start.Add(2*time.Minute), nil, 3, time.Time{})
	g.Expect(r.Entries()).To(BeEmpty())
}

// Guards against a cold period that starts anew with each copy of a registration, ends early
// by a later registration, or is missed because only the start time changed.
func TestColdTimesOfRegistrations(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	apply := func(after time.Duration, revision uint64, started int64, remaining time.Duration) registry.Upstream {
		entry := registered("u1", revision)
		entry.Upstream.StartedUnixMs, entry.Upstream.ColdRemaining = started, remaining
		r.Apply(start.Add(after), entry)
		return r.Usable(start)[0]
	}
	first := apply(0, 1, 7, 3*time.Second)
	g.Expect(first.ColdLeft(start.Add(time.Second))).To(Equal(2 * time.Second))
	g.Expect(first.RestartedAt.IsZero()).To(BeTrue(), "the first start time known")
	g.Expect(apply(time.Second, 1, 7, 3*time.Second)).To(Equal(first), "the same revision again")
	g.Expect(apply(time.Second, 2, 7, 0).ColdLeft(start)).To(Equal(3 * time.Second))
	g.Expect(apply(2*time.Second, 3, 7, 3*time.Second).ColdLeft(start)).To(Equal(5*time.Second), "cold again")
	restarted := apply(10*time.Second, 4, 8, 0)
	g.Expect(restarted.RestartedAt).To(Equal(start.Add(10 * time.Second)))
	g.Expect(restarted.ColdLeft(start.Add(10 * time.Second))).To(BeZero())
	r.Apply(start.Add(11*time.Second), removed("u1", 5))
	g.Expect(apply(12*time.Second, 6, 9, 0).RestartedAt).To(Equal(start.Add(12*time.Second)), "removed in between")
	g.Expect(apply(13*time.Second, 7, 9, 0).RestartedAt).To(Equal(start.Add(12 * time.Second)))
}
