package sidecar

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestOutage(t *testing.T) {
	start := time.Unix(1_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	t.Run("calls that broke off in one crash share its name", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.brokeOff(at(10))
		o.brokeOff(at(12))
		first := o.confirm("u", at(0))
		g.Expect(first).To(HavePrefix("u/"))
		g.Expect(o.confirm("u", at(5))).To(Equal(first))
	})
	t.Run("a call that started on the dead upstream is not suspected", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.brokeOff(at(10))
		g.Expect(o.confirm("u", at(0))).NotTo(BeEmpty())
		o.brokeOff(at(12))
		g.Expect(o.confirm("u", at(11))).To(BeEmpty())
	})
	t.Run("a probe that was sent before the crash does not end it", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.brokeOff(at(10))
		first := o.confirm("u", at(0))
		o.answered(at(9))
		g.Expect(o.confirm("u", at(0))).To(Equal(first))
	})
	t.Run("the next crash has another name", func(t *testing.T) {
		g := NewWithT(t)
		var o outage
		o.brokeOff(at(10))
		first := o.confirm("u", at(0))
		o.answered(at(20))
		g.Expect(o.confirm("u", at(0))).To(BeEmpty())
		o.brokeOff(at(30))
		g.Expect(o.confirm("u", at(25))).NotTo(Equal(first))
	})
}
