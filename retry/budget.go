// Package retry limits how many requests are retried at another upstream. The
// retry budget of a service is divided among all routers.
package retry

import (
	"time"

	"fulmarspindle.example/fulmarspindle/rolling"
)

// windowSteps is the number of steps in a sliding window.
const windowSteps = 20

// BudgetOptions configure a Budget.
type BudgetOptions struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries beyond Ratio that all routers together may
	// send in a window.
	Slack float64
	// Window is the length of the sliding window over which retries are counted.
	Window time.Duration
	// MaxDelay bounds the time from TryAcquire to the arrival of the retry at the
	// upstream. Retries that arrive within one window may have been acquired that
	// much earlier.
	MaxDelay time.Duration
}

// Budget counts the requests and retries of one service. In any window the upstreams
// receive at most Ratio retries per request plus Slack retries from all routers
// together, however the load shifts between routers. This prevents retry storms when
// upstreams fail many requests while the load changes.
type Budget struct {
	options BudgetOptions
	// knownSince is the time from which the retries of this router are known.
	knownSince time.Time
	counts     *rolling.Window[stepCounts]
}

// stepCounts holds the requests and retries counted in one step of a window.
type stepCounts struct{ requests, retries float64 }

// Usage is a router's use of its share of a budget in the window with the fewest
// retries remaining.
type Usage struct {
	Spent   float64 `json:"spent"`
	Allowed float64 `json:"allowed"`
}

func (u Usage) remaining() float64 { return u.Allowed - u.Spent }

// NewBudget returns the budget of a router whose retries are known from the time
// since: an earlier process may have used up its share of the slack just before then.
// A zero time means that there was no earlier process.
func NewBudget(options BudgetOptions, since time.Time) *Budget {
	b := &Budget{options: options, knownSince: since}
	step := max(options.Window/windowSteps, 1)
	steps := 2*windowSteps + b.maxDelaySteps()
	b.counts = rolling.New[stepCounts](time.Duration(steps)*step, steps)
	return b
}

// maxDelaySteps returns MaxDelay in steps, rounded up.
func (b *Budget) maxDelaySteps() int {
	step := max(b.options.Window/windowSteps, 1)
	return int((b.options.MaxDelay + step - 1) / step)
}

// SetOptions applies new settings. A change of Window or MaxDelay discards the counts,
// so that no slack is available until Window and MaxDelay have passed.
func (b *Budget) SetOptions(now time.Time, options BudgetOptions) {
	if options.Window != b.options.Window || options.MaxDelay != b.options.MaxDelay {
		*b = *NewBudget(options, now)
		return
	}
	b.options = options
}

// RecordRequest counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time) { b.counts.Current(now).requests++ }

// TryAcquire spends one retry from the budget of one of the given number of routers.
// It returns false if none is left.
func (b *Budget) TryAcquire(now time.Time, routers int) bool {
	if !b.Available(now, routers) {
		return false
	}
	b.counts.Current(now).retries++
	return true
}

// Available reports whether TryAcquire would succeed.
func (b *Budget) Available(now time.Time, routers int) bool {
	return b.Usage(now, routers).remaining() >= 1
}

// Usage returns the usage of one of the given number of routers.
func (b *Budget) Usage(now time.Time, routers int) Usage {
	slack := b.slackShare(now, routers)
	history := b.counts.History(now)
	tightest := b.nextWindowUsage(history, slack)
	for steps := 1; steps <= windowSteps; steps++ {
		if u := b.windowUsage(history, steps, slack); u.remaining() < tightest.remaining() {
			tightest = u
		}
	}
	return tightest
}

// slackShare returns the slack of one of the given number of routers. It is zero
// while the number of routers is unknown, given as zero, or while an earlier process
// may have sent retries that count in the current window.
func (b *Budget) slackShare(now time.Time, routers int) float64 {
	if routers <= 0 || now.Sub(b.knownSince) < b.options.Window+b.options.MaxDelay {
		return 0
	}
	return b.options.Slack / float64(routers)
}

// windowUsage returns the usage of the window that began the given number of steps
// ago. It allows for half of the requests since one window before that: they are at
// most the requests of the busier of the two windows, and unlike a maximum, the halves
// of several routers add up.
func (b *Budget) windowUsage(history []stepCounts, steps int, slack float64) Usage {
	return Usage{
		Spent:   sumRetries(history[:steps+b.maxDelaySteps()+1]),
		Allowed: b.options.Ratio*sumRequests(history[:steps+windowSteps])/2 + slack,
	}
}

// nextWindowUsage returns the usage of a window that begins in the current step or up
// to MaxDelay later, when a retry acquired now may arrive.
func (b *Budget) nextWindowUsage(history []stepCounts, slack float64) Usage {
	delay := b.maxDelaySteps()
	return Usage{
		Spent:   sumRetries(history[:delay+1]),
		Allowed: b.options.Ratio*sumRequests(history[:max(windowSteps-delay, 0)])/2 + slack,
	}
}

func sumRequests(history []stepCounts) float64 {
	total := 0.0
	for _, c := range history {
		total += c.requests
	}
	return total
}

func sumRetries(history []stepCounts) float64 {
	total := 0.0
	for _, c := range history {
		total += c.retries
	}
	return total
}
