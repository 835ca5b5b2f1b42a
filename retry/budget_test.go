package retry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/retry"
)

var start = time.Unix(1000, 0)

func newBudget() *retry.Budget {
	return retry.NewBudget(retry.BudgetOptions{Ratio: 0.2, Slack: 8, Window: 10 * time.Second})
}

func take(b *retry.Budget, now time.Time, routers, tries int) int {
	taken := 0
	for range tries {
		if b.Take(now, routers) {
			taken++
		}
	}
	return taken
}

func TestRetryStormIsBoundedByRatioAndSlack(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for range 100 {
		b.Request(start)
	}
	g.Expect(take(b, start, 1, 1000)).To(Equal(28))
}

func TestRoutersShareTheSlack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(take(newBudget(), start, 4, 100)).To(Equal(2))
	g.Expect(take(newBudget(), start, 0, 100)).To(Equal(8))
}

func TestWindowSlides(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(take(b, start, 1, 100)).To(Equal(8))
	g.Expect(take(b, start.Add(9*time.Second), 1, 100)).To(BeZero())
	g.Expect(take(b, start.Add(11*time.Second), 1, 100)).To(Equal(8))
}

// The window is counted by elapsed time: a step of the clock's date must not
// empty it. time.Time values of one process carry a monotonic reading.
func TestNoWindowHoldsMoreThanItsBudget(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	var taken []time.Time
	for ms := range 40_000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%10 == 0 {
			b.Request(now)
		}
		if b.Take(now, 1) {
			taken = append(taken, now)
		}
	}
	// 1,000 requests in a window of 10 s, at most the step of a bucket off.
	const most = 0.2*1000*1.05 + 8
	for i, first := range taken {
		n := 0
		for _, at := range taken[i:] {
			if at.Sub(first) < 9500*time.Millisecond {
				n++
			}
		}
		g.Expect(float64(n)).To(BeNumerically("<=", most))
	}
}

func TestNewSettingsKeepTheCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := retry.NewBudget(retry.BudgetOptions{Slack: 2, Window: 10 * time.Second})
	g.Expect(b.Take(now, 1)).To(BeTrue())
	b.SetOptions(retry.BudgetOptions{Slack: 1, Window: 10 * time.Second})
	g.Expect(b.Take(now, 1)).To(BeFalse())
	b.SetOptions(retry.BudgetOptions{Slack: 1, Window: 5 * time.Second})
	g.Expect(b.Take(now, 1)).To(BeTrue(), "another window counts anew")
}
