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
	r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2), registered("c", 3)}, 3, false)
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
	r.Replace(start, []registry.Entry{registered("a", 8)}, 8, false)
	g.Expect(usable(r, start)).To(BeEmpty())
}

func TestStaleListIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 5)}, 7, false)
	r.Replace(start, nil, 6, false)
	g.Expect(usable(r, start)).To(Equal([]string{"a"}))
}

func TestUpstreamLapsedDuringOutageIsUsableForTheGrace(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2), draining("c", 3)}, 3, false)
	r.Replace(start, []registry.Entry{registered("b", 2)}, 9, true)
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

func TestUpstreamMissingWithoutOutageIsRemovedAtOnce(t *testing.T) {
	g := NewWithT(t)
	r := newRegistry()
	r.Replace(start, []registry.Entry{registered("a", 1)}, 1, false)
	r.Replace(start, nil, 2, false)
	g.Expect(usable(r, start)).To(BeEmpty())
}

func TestEntriesCarryRemovalsToOtherRouters(t *testing.T) {
	g := NewWithT(t)
	source, outdated := newRegistry(), newRegistry()
	for _, r := range []*registry.Registry{source, outdated} {
		r.Replace(start, []registry.Entry{registered("a", 1), registered("b", 2)}, 2, false)
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
	r.Replace(start, []registry.Entry{registered("a", 1)}, 1, false)
	r.Replace(start, nil, 2, false)
	g.Expect(r.Entries()).To(HaveLen(1))
	r.Replace(start.Add(2*time.Minute), nil, 3, false)
	g.Expect(r.Entries()).To(BeEmpty())
}
