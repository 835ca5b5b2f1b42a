package sidecar

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// accountLag is the time from a charge until sidecars of every region know
	// of it.
	accountLag = 100 * time.Millisecond
	// runTimeSmoothing is the divisor of a new value in the average run time.
	runTimeSmoothing = 16
)

// reservations implements dispatch.Accounts on the ledger. The scheduler's
// lock is held in every call.
type reservations scheduler

// Account implements dispatch.Accounts: it returns the team's score in the
// present draw.
func (r *reservations) Account(team fleet.TeamID) float64 {
	if r.drawn {
		return r.draw.Score(team, r.ledger.Account(team), r.weightOf(team))
	}
	r.drawn = true
	shares := make([]fairness.Candidate, 0, len(r.waiting))
	for waiting := range r.waiting {
		shares = append(shares, fairness.Candidate{Account: r.ledger.Account(waiting), Weight: r.weightOf(waiting)})
	}
	r.draw.Prepare(shares, r.turnover())
	return r.Account(team)
}

// turnover returns the cost that the service's upstreams grant while a charge is
// on its way to all sidecars, at least that of one request.
func (r *reservations) turnover() float64 {
	grants := 1.0
	if r.runTime > 0 {
		grants = max(1, float64(r.serviceSlots)*accountLag.Seconds()/r.runTime.Seconds())
	}
	return grants * r.ledger.MeanCost()
}

// Reserve implements dispatch.Accounts.
func (r *reservations) Reserve(team fleet.TeamID) {
	r.drawn = false
	r.nextID++
	r.ledger.Begin(r.nextID, team, 0, r.now)
	r.reserved[team] = append(r.reserved[team], r.nextID)
}

// Release implements dispatch.Accounts.
func (r *reservations) Release(team fleet.TeamID) {
	ids := r.reserved[team]
	if len(ids) == 0 {
		return
	}
	last := len(ids) - 1
	r.ledger.Release(ids[last], r.now)
	if last == 0 {
		delete(r.reserved, team)
		return
	}
	r.reserved[team] = ids[:last]
}

func (s *scheduler) observeRunTime(elapsed time.Duration) {
	if s.runTime == 0 {
		s.runTime = elapsed
		return
	}
	s.runTime += (elapsed - s.runTime) / runTimeSmoothing
}
