package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/retry"
)

// Guards against routers that take over the retry budget of routers they are
// disconnected from, which may still be running.
func TestDisconnectedRoutersKeepTheirShare(t *testing.T) {
	g := NewWithT(t)
	m := retry.NewMembers(time.Hour)
	g.Expect(m.Count(start)).To(BeZero(), "the registered routers have not been listed yet")
	m.MarkConnected(start, "b")
	g.Expect(m.Count(start)).To(BeZero(), "other routers may be registered")
	m.AddRegistered(start, []fleet.NodeID{"b", "c"})
	g.Expect(m.Count(start)).To(Equal(3))
	m.MarkConnected(start.Add(time.Minute), "b")
	g.Expect(m.Count(start.Add(59*time.Minute))).To(Equal(3), "a disconnected router keeps its share until the TTL")
	// The list may name routers that no longer run, so it doesn't extend their TTL.
	m.AddRegistered(start.Add(time.Hour), []fleet.NodeID{"b", "c"})
	g.Expect(m.Count(start.Add(time.Hour))).To(Equal(2))
	m.MarkConnected(start.Add(2*time.Hour), "c")
	g.Expect(m.Count(start.Add(2 * time.Hour))).To(Equal(2))
}
