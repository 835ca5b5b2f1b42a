package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/retry"
)

// Guards against routers that take the part of those they lose sight of.
func TestRoutersOutOfSightKeepTheirPart(t *testing.T) {
	g := NewWithT(t)
	m := retry.NewMembers(time.Hour)
	g.Expect(m.Count(start)).To(BeZero(), "nobody listed the routers yet")
	m.Seen(start, "b")
	g.Expect(m.Count(start)).To(BeZero(), "there may be others")
	m.Listed(start, []fleet.NodeID{"b", "c"})
	g.Expect(m.Count(start)).To(Equal(3))
	m.Seen(start.Add(time.Minute), "b")
	g.Expect(m.Count(start.Add(59*time.Minute))).To(Equal(3), "lost is not gone")
	// A list names routers that are gone too: it does not renew them.
	m.Listed(start.Add(time.Hour), []fleet.NodeID{"b", "c"})
	g.Expect(m.Count(start.Add(time.Hour))).To(Equal(2))
	m.Seen(start.Add(2*time.Hour), "c")
	g.Expect(m.Count(start.Add(2 * time.Hour))).To(Equal(2))
}
