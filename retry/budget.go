// Package retry decides whether a request is sent to another upstream. The
// budget of a service is shared by all routers: each spends its part.
package retry

import (
	"time"

	"fulmarspindle.example/fulmarspindle/rolling"
)

// bucketCount is the number of steps in which a window slides.
const bucketCount = 20

// BudgetOptions set up a Budget.
type BudgetOptions struct {
	// Ratio is the allowed number of retries for each request.
	Ratio float64
	// Slack is the number of retries that all routers together may send in a
	// window beyond the ratio.
	Slack float64
	// Window is the span in which retries are counted.
	Window time.Duration
}

// Budget counts requests and retries of one service in a sliding window.
type Budget struct {
	options  BudgetOptions
	requests window
	retries  window
}

// NewBudget returns an empty budget.
func NewBudget(options BudgetOptions) *Budget {
	return &Budget{options: options, requests: newWindow(options.Window), retries: newWindow(options.Window)}
}

// SetOptions takes new settings. The counts stay unless the window changes.
func (b *Budget) SetOptions(options BudgetOptions) {
	if options.Window != b.options.Window {
		*b = *NewBudget(options)
		return
	}
	b.options = options
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) { b.requests.add(now) }

// Usage is what a router has spent of its part of a budget.
type Usage struct {
	Spent   float64 `json:"spent"`
	Allowed float64 `json:"allowed"`
}

// Usage returns what a router among routers has spent within the window.
func (b *Budget) Usage(now time.Time, routers int) Usage {
	return Usage{
		Spent:   b.retries.sum(now),
		Allowed: b.options.Ratio*b.requests.sum(now) + b.options.Slack/float64(max(routers, 1)),
	}
}

// Take takes a retry out of the budget of a router among routers. It returns
// false if none is left.
func (b *Budget) Take(now time.Time, routers int) bool {
	usage := b.Usage(now, routers)
	if usage.Spent+1 > usage.Allowed {
		return false
	}
	b.retries.add(now)
	return true
}

// window counts what happened within a span.
type window struct{ *rolling.Window[float64] }

func newWindow(span time.Duration) window {
	return window{rolling.New[float64](span, bucketCount)}
}

func (w window) add(now time.Time) { *w.Current(now)++ }

func (w window) sum(now time.Time) float64 {
	total := 0.0
	for _, n := range w.Buckets(now) {
		total += n
	}
	return total
}
