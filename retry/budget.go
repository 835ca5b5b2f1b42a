// Package retry decides whether a request is sent to another upstream. The
// budget of a service is shared by all routers: each spends its part.
package retry

import (
	"time"

	"fulmarspindle.example/fulmarspindle/rolling"
)

// windowSteps is the number of steps in which a window slides.
const windowSteps = 20

// BudgetOptions set up a Budget.
type BudgetOptions struct {
	// Ratio is the allowed number of retries for each request.
	Ratio float64
	// Slack is the number of retries that all routers together may send in a
	// window beyond the ratio.
	Slack float64
	// Window is the span in which retries are counted.
	Window time.Duration
	// Delay bounds the time from Take to the arrival of a retry: what arrives
	// within one window may have been taken that much earlier.
	Delay time.Duration
}

// Budget counts requests and retries of one service. Upstreams get, in any window,
// at most Slack retries of all routers beyond Ratio for each request, whichever way
// the load moves between routers. It answers upstreams that fail much of what they
// get while the load changes.
type Budget struct {
	options BudgetOptions
	// since is from when on the retries of this router are known.
	since  time.Time
	counts *rolling.Window[counts]
}

// counts is what happened in a step of a window.
type counts struct{ requests, retries float64 }

// Usage is what a router has spent of its part of a budget, in the window that
// allows it least.
type Usage struct {
	Spent   float64 `json:"spent"`
	Allowed float64 `json:"allowed"`
}

func (u Usage) left() float64 { return u.Allowed - u.Spent }

// NewBudget returns a budget of a router whose retries are known since a moment: an
// earlier process may have spent its part of the slack just before. With a zero
// moment there was none.
func NewBudget(options BudgetOptions, since time.Time) *Budget {
	b := &Budget{options: options, since: since}
	step := max(options.Window/windowSteps, 1)
	steps := 2*windowSteps + b.delaySteps()
	b.counts = rolling.New[counts](time.Duration(steps)*step, steps)
	return b
}

// delaySteps is Delay in steps, rounded up.
func (b *Budget) delaySteps() int {
	step := max(b.options.Window/windowSteps, 1)
	return int((b.options.Delay + step - 1) / step)
}

// SetOptions takes new settings. Another window begins without knowledge of what
// was spent before.
func (b *Budget) SetOptions(now time.Time, options BudgetOptions) {
	if options.Window != b.options.Window || options.Delay != b.options.Delay {
		*b = *NewBudget(options, now)
		return
	}
	b.options = options
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) { b.counts.Current(now).requests++ }

// Take takes a retry out of the budget of a router among routers. It returns
// false if none is left.
func (b *Budget) Take(now time.Time, routers int) bool {
	if !b.Available(now, routers) {
		return false
	}
	b.counts.Current(now).retries++
	return true
}

// Available reports whether Take would succeed.
func (b *Budget) Available(now time.Time, routers int) bool {
	return b.Usage(now, routers).left() >= 1
}

// Usage returns what a router among routers has spent.
func (b *Budget) Usage(now time.Time, routers int) Usage {
	slack := b.slack(now, routers)
	history := b.counts.History(now)
	least := b.future(history, slack)
	for steps := 1; steps <= windowSteps; steps++ {
		if u := b.inWindow(history, steps, slack); u.left() < least.left() {
			least = u
		}
	}
	return least
}

// slack returns the part of a router among routers; zero routers are an unknown
// number.
func (b *Budget) slack(now time.Time, routers int) float64 {
	if routers <= 0 || now.Sub(b.since) < b.options.Window+b.options.Delay {
		return 0
	}
	return b.options.Slack / float64(routers)
}

// inWindow returns the usage of a window that began within the step that is so many
// steps ago. Half of the requests from one window before its begin until now are at
// most those of either window; routers that all count so may be added up.
func (b *Budget) inWindow(history []counts, steps int, slack float64) Usage {
	return Usage{
		Spent:   retries(history[:steps+b.delaySteps()+1]),
		Allowed: b.options.Ratio*requests(history[:steps+windowSteps])/2 + slack,
	}
}

// future returns the usage of a window that begins in the present step or up to
// Delay later: retries may arrive that late.
func (b *Budget) future(history []counts, slack float64) Usage {
	delay := b.delaySteps()
	return Usage{
		Spent:   retries(history[:delay+1]),
		Allowed: b.options.Ratio*requests(history[:max(windowSteps-delay, 0)])/2 + slack,
	}
}

func requests(history []counts) float64 {
	total := 0.0
	for _, c := range history {
		total += c.requests
	}
	return total
}

func retries(history []counts) float64 {
	total := 0.0
	for _, c := range history {
		total += c.retries
	}
	return total
}
