package fairness

import "time"

// debtCeiling is the largest account of a team with waiting requests. A team
// that received more than the others while regions were cut from each other, or
// before the accounts of an idle fleet were known everywhere, makes up for it by
// waiting. The ceiling bounds that wait, so that no team starves after a long
// cut.
//
// The ceiling lies ahead of the virtual time by what the virtual time gained
// within the last one to two windows.
type debtCeiling struct {
	ceiling float64
	// earlier and recent are the virtual times at the starts of the last two
	// windows.
	previousStart float64
	currentStart  float64
	windowStart   time.Duration
}

// advance takes the virtual time at a time since the keeper's start.
func (d *debtCeiling) advance(virtualTime float64, at, window time.Duration) {
	if at-d.windowStart >= window {
		d.previousStart = d.currentStart
		d.currentStart = virtualTime
		d.windowStart = at
	}
	d.ceiling = virtualTime + virtualTime - d.previousStart
}

// known reports whether the virtual time has been told for a whole window.
func (d *debtCeiling) known() bool { return d.previousStart > 0 }

// limitAccountTo raises what is waived so that the account is at most the given one.
func (t *teamState) limitAccountTo(account float64) {
	t.waived = max(t.waived, t.fleetTotal()+t.lift-account)
}
