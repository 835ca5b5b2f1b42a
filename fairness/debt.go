package fairness

import "time"

// debtCeiling is the upper bound of the account of a team with waiting requests.
// A team that received more service than the others during a network partition
// between regions, or before the accounts of an idle fleet had propagated, waits
// until the others have caught up. The ceiling bounds that wait, so that no team
// starves after a long partition.
//
// The ceiling exceeds the virtual time by the amount that the virtual time
// advanced within the last one to two windows.
type debtCeiling struct {
	ceiling float64
	// previousStart and currentStart are the virtual times at the start of the
	// previous and of the current window.
	previousStart float64
	currentStart  float64
	windowStart   time.Duration
}

// advance updates the ceiling with the virtual time; at is the time since the
// keeper's start.
func (d *debtCeiling) advance(virtualTime float64, at, window time.Duration) {
	if at-d.windowStart >= window {
		d.previousStart = d.currentStart
		d.currentStart = virtualTime
		d.windowStart = at
	}
	d.ceiling = virtualTime + virtualTime - d.previousStart
}

// known reports whether a full window with a known virtual time has passed.
func (d *debtCeiling) known() bool { return d.previousStart > 0 }

// limitAccountTo raises the waived amount so that the account is at most the
// given value.
func (t *teamState) limitAccountTo(account float64) {
	t.waived = max(t.waived, t.fleetTotal()+t.lift-account)
}
