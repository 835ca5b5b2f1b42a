package retry_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/retry"
)

var start = time.Unix(1000, 0)

func newBudget() *retry.Budget {
	return retry.NewBudget(retry.BudgetOptions{Ratio: 0.2, Slack: 8, Window: 10 * time.Second}, time.Time{})
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
	g.Expect(take(b, start, 1, 1000)).To(Equal(18), "a load that has just begun counts by half")
}

func TestSteadyLoadMaySpendTheWholeRatio(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	taken := 0
	for ms := 0; ms < 60_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b.Request(now)
		if b.Take(now, 1) && ms >= 30_000 {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically(">", 0.95*0.2*3000))
}

func TestRoutersShareTheSlack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(take(newBudget(), start, 4, 100)).To(Equal(2))
	g.Expect(take(newBudget(), start, 0, 100)).To(BeZero(), "there may be any number of routers")
}

func TestWindowSlides(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(take(b, start, 1, 100)).To(Equal(8))
	g.Expect(take(b, start.Add(9*time.Second), 1, 100)).To(BeZero())
	g.Expect(take(b, start.Add(11*time.Second), 1, 100)).To(Equal(8))
}

// Guards against a window that is short at its edges: retries that arrive up to
// Delay after they were taken stay within the budget of each window, by elapsed
// time. The callers' load goes up and down, and moves between routers.
func TestNoWindowGetsMoreRetriesThanItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := retry.BudgetOptions{
			Ratio: 0.2, Slack: float64(rapid.IntRange(0, 60).Draw(t, "slack")), Window: 10 * time.Second,
			Delay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay ms")) * time.Millisecond,
		}
		routers := make([]*retry.Budget, rapid.IntRange(1, 4).Draw(t, "routers"))
		for i := range routers {
			routers[i] = retry.NewBudget(options, time.Time{})
		}
		var requests, arrivals []time.Time
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			every := rapid.IntRange(5, 400).Draw(t, "ms between requests")
			storm := rapid.Bool().Draw(t, "all fail")
			b := routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				now = now.Add(time.Duration(every) * time.Millisecond)
				b.Request(now)
				requests = append(requests, now)
				for storm && b.Take(now, len(routers)) {
					late := time.Millisecond + time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "late")*float64(options.Delay))
					arrivals = append(arrivals, now.Add(late))
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "pause ms")) * time.Millisecond)
		}
		expectBudget(t, options, requests, arrivals)
	})
}

// expectBudget fails if more retries arrive within a window than the budget allows.
func expectBudget(t *rapid.T, options retry.BudgetOptions, requests, arrivals []time.Time) {
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := range arrivals {
		got := count(arrivals[i:], first, options.Window)
		asked := max(count(requests, first, options.Window), count(requests, first.Add(-options.Window), options.Window),
			count(requests, first.Add(-options.Window/2), options.Window))
		if allowed := options.Ratio*float64(asked) + options.Slack; float64(got) > allowed {
			t.Fatalf("%d retries arrived within %v, %.1f allowed", got, options.Window, allowed)
		}
	}
}

// count returns how many moments lie in a window.
func count(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

func TestNewSettingsKeepTheCounts(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := retry.NewBudget(retry.BudgetOptions{Slack: 2, Window: 10 * time.Second}, time.Time{})
	g.Expect(b.Take(now, 1)).To(BeTrue())
	b.SetOptions(now, retry.BudgetOptions{Slack: 1, Window: 10 * time.Second})
	g.Expect(b.Take(now, 1)).To(BeFalse())
	b.SetOptions(now, retry.BudgetOptions{Slack: 1, Window: 5 * time.Second})
	g.Expect(b.Take(now.Add(4*time.Second), 1)).To(BeFalse(), "what was spent in the other window is not known")
	g.Expect(b.Take(now.Add(5*time.Second), 1)).To(BeTrue())
}

// Guards against gateways that forget at a restart what they spent: whatever the
// kills, the processes of one router together keep to its part in each window.
func TestRestartsDoNotRefillTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := retry.BudgetOptions{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, Delay: time.Second}
		b := retry.NewBudget(options, time.Time{})
		var requests, arrivals []time.Time
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "processes") {
			for range rapid.IntRange(1, 400).Draw(t, "requests") {
				now = now.Add(20 * time.Millisecond)
				b.Request(now)
				requests = append(requests, now)
				for b.Take(now, 1) {
					late := time.Millisecond + time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "late")*float64(options.Delay))
					arrivals = append(arrivals, now.Add(late))
				}
			}
			b = retry.NewBudget(options, now)
		}
		expectBudget(t, options, requests, arrivals)
	})
}
