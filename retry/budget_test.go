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

func acquire(b *retry.Budget, now time.Time, routers, attempts int) int {
	acquired := 0
	for range attempts {
		if b.TryAcquire(now, routers) {
			acquired++
		}
	}
	return acquired
}

func TestRetryStormIsBoundedByRatioAndSlack(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	for range 100 {
		b.RecordRequest(start)
	}
	g.Expect(acquire(b, start, 1, 1000)).To(Equal(18), "a load without earlier requests counts by half")
}

func TestSteadyLoadMaySpendTheWholeRatio(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	acquired := 0
	for ms := 0; ms < 60_000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b.RecordRequest(now)
		if b.TryAcquire(now, 1) && ms >= 30_000 {
			acquired++
		}
	}
	g.Expect(acquired).To(BeNumerically(">", 0.95*0.2*3000))
}

func TestRoutersShareTheSlack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(acquire(newBudget(), start, 4, 100)).To(Equal(2))
	g.Expect(acquire(newBudget(), start, 0, 100)).To(BeZero(), "the number of routers is unknown")
}

func TestWindowSlides(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	g.Expect(acquire(b, start, 1, 100)).To(Equal(8))
	g.Expect(acquire(b, start.Add(9*time.Second), 1, 100)).To(BeZero())
	g.Expect(acquire(b, start.Add(11*time.Second), 1, 100)).To(Equal(8))
}

// Guards against undercounting at the edges of a window: retries that arrive up to
// MaxDelay after they were acquired must stay within the budget of every window in
// elapsed time, while the load varies and shifts between routers.
func TestNoWindowGetsMoreRetriesThanItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := retry.BudgetOptions{
			Ratio: 0.2, Slack: float64(rapid.IntRange(0, 60).Draw(t, "slack")), Window: 10 * time.Second,
			MaxDelay: time.Duration(rapid.IntRange(0, 3000).Draw(t, "delay ms")) * time.Millisecond,
		}
		routers := make([]*retry.Budget, rapid.IntRange(1, 4).Draw(t, "routers"))
		for i := range routers {
			routers[i] = retry.NewBudget(options, time.Time{})
		}
		var requests, arrivals []time.Time
		now := start
		for range rapid.IntRange(1, 12).Draw(t, "phases") {
			every := rapid.IntRange(5, 400).Draw(t, "ms between requests")
			allFail := rapid.Bool().Draw(t, "all fail")
			b := routers[rapid.IntRange(0, len(routers)-1).Draw(t, "router")]
			for range rapid.IntRange(1, 60).Draw(t, "requests") {
				now = now.Add(time.Duration(every) * time.Millisecond)
				b.RecordRequest(now)
				requests = append(requests, now)
				for allFail && b.TryAcquire(now, len(routers)) {
					delay := time.Millisecond + time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "late")*float64(options.MaxDelay))
					arrivals = append(arrivals, now.Add(delay))
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "pause ms")) * time.Millisecond)
		}
		expectWithinBudget(t, options, requests, arrivals)
	})
}

// expectWithinBudget fails the test if more retries arrive in any window than the
// budget allows.
func expectWithinBudget(t *rapid.T, options retry.BudgetOptions, requests, arrivals []time.Time) {
	slices.SortFunc(arrivals, time.Time.Compare)
	for i, first := range arrivals {
		got := countInWindow(arrivals[i:], first, options.Window)
		offered := max(countInWindow(requests, first, options.Window), countInWindow(requests, first.Add(-options.Window), options.Window),
			countInWindow(requests, first.Add(-options.Window/2), options.Window))
		if allowed := options.Ratio*float64(offered) + options.Slack; float64(got) > allowed {
			t.Fatalf("%d retries arrived within %v, %.1f allowed", got, options.Window, allowed)
		}
	}
}

// countInWindow returns the number of times in the window that starts at from.
func countInWindow(times []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
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
	g.Expect(b.TryAcquire(now, 1)).To(BeTrue())
	b.SetOptions(now, retry.BudgetOptions{Slack: 1, Window: 10 * time.Second})
	g.Expect(b.TryAcquire(now, 1)).To(BeFalse())
	b.SetOptions(now, retry.BudgetOptions{Slack: 1, Window: 5 * time.Second})
	g.Expect(b.TryAcquire(now.Add(4*time.Second), 1)).To(BeFalse(), "the retries of the previous window length are unknown")
	g.Expect(b.TryAcquire(now.Add(5*time.Second), 1)).To(BeTrue())
}

// Guards against gateways that forget the retries they spent when they restart: the
// successive processes of one router together must stay within its share of the budget
// in every window.
func TestRestartsDoNotRefillTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := retry.BudgetOptions{Ratio: 0.2, Slack: 40, Window: 10 * time.Second, MaxDelay: time.Second}
		b := retry.NewBudget(options, time.Time{})
		var requests, arrivals []time.Time
		now := start
		for range rapid.IntRange(1, 8).Draw(t, "processes") {
			for range rapid.IntRange(1, 400).Draw(t, "requests") {
				now = now.Add(20 * time.Millisecond)
				b.RecordRequest(now)
				requests = append(requests, now)
				for b.TryAcquire(now, 1) {
					delay := time.Millisecond + time.Duration(rapid.Float64Range(0, 0.999).Draw(t, "late")*float64(options.MaxDelay))
					arrivals = append(arrivals, now.Add(delay))
				}
			}
			b = retry.NewBudget(options, now)
		}
		expectWithinBudget(t, options, requests, arrivals)
	})
}
