package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

func TestLoadIncludesReason(t *testing.T) {
	g := NewWithT(t)
	s := New(t.Context(), config.SidecarSettings{ID: "u"}, TLS{}, zap.NewNop())
	load := func() *peerpb.Load { return s.scheduler.loadMessage().GetLoad() }
	g.Expect(load().GetReason()).To(Equal("not-configured"))
	expect := func(rule *fleet.LeavingRule, want fleet.Reason) {
		t.Helper()
		s.scheduler.setAccepting(s.ineligibilityReason(rule))
		g.Expect(load().GetReason()).To(Equal(string(want)))
		g.Expect(load().GetAccepting()).To(Equal(want == fleet.ReasonNone))
		g.Expect(s.scheduler.announcedReason).To(Equal(want))
	}
	expect(nil, fleet.ReasonUnhealthy)
	s.health.tracker.Step(time.Now(), fleet.RequestDone{OK: true})
	expect(nil, fleet.ReasonNone)
	expect(&fleet.LeavingRule{}, fleet.ReasonLeavingRule)
	s.draining.Store(true)
	expect(nil, fleet.ReasonDraining)
}
