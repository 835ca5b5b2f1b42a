package warmup_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/warmup"
)

// Guards against plans that break the bound, or use less of it than they may.
func TestPlanKeepsTheBoundWithOneMoreSender(t *testing.T) {
	for _, c := range []struct {
		rate, overage, slack float64
		senders, perSecond   int
	}{
		{12, 1.5, 5, 3, 5},
		{6.9, 1.5, 5, 3, 3},
		{100, 1.5, 5, 3, 34},
		{3, 1.5, 2, 2, 2},
		{12, 1, 0, 1, 12},
		{0.5, 1, 0, 1, 1},
	} {
		g := NewWithT(t)
		limits := warmup.Limits{Rate: c.rate, Overage: c.overage, Slack: c.slack}
		plan := warmup.NewPlan(limits)
		g.Expect(plan.Senders).To(Equal(c.senders), "%v", c)
		perSecond := int(time.Second/plan.Interval) + 1
		g.Expect(perSecond).To(Equal(c.perSecond), "%v", c)
		if c.senders > 1 {
			g.Expect(float64((c.senders + 1) * perSecond)).To(BeNumerically("<=", limits.Bound()))
		}
	}
}
