package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOutageCrashID(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	t.Run("calls that failed in the same crash get the same identifier", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.recordFailedCall(at(10))
		o.recordFailedCall(at(12))
		first := o.confirmCrash("u", at(0))
		g.Expect(first).To(HavePrefix("u/"))
		g.Expect(o.confirmCrash("u", at(5))).To(Equal(first))
	})
	t.Run("a call that started while the upstream was down is not suspected", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.recordFailedCall(at(10))
		g.Expect(o.confirmCrash("u", at(0))).NotTo(BeEmpty())
		o.recordFailedCall(at(12))
		g.Expect(o.confirmCrash("u", at(11))).To(BeEmpty())
	})
	t.Run("a probe that was sent before the crash does not end the outage", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.recordFailedCall(at(10))
		first := o.confirmCrash("u", at(0))
		o.recordProbeSuccess(at(9))
		g.Expect(o.confirmCrash("u", at(0))).To(Equal(first))
	})
	t.Run("the next crash has a different identifier", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.recordFailedCall(at(10))
		first := o.confirmCrash("u", at(0))
		o.recordProbeSuccess(at(20))
		g.Expect(o.confirmCrash("u", at(0))).To(BeEmpty())
		o.recordFailedCall(at(30))
		g.Expect(o.confirmCrash("u", at(25))).NotTo(Equal(first))
	})
}
