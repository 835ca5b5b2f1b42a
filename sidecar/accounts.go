package sidecar

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// propagationDelay is the assumed time until the sidecars of all regions have
	// received a charge.
	propagationDelay = 100 * time.Millisecond
	// runTimeDivisor is the inverse of the weight of a new value in the
	// exponential moving average of run times.
	runTimeDivisor = 16
)

// dispatchAccounts implements dispatch.Accounts with the scheduler's ledger and
// lottery. The caller must hold the scheduler's lock.
type dispatchAccounts scheduler

// Account implements dispatch.Accounts. It returns the team's score in the
// current drawing of the lottery, which it prepares if necessary.
func (a *dispatchAccounts) Account(team fleet.TeamID) float64 {
	if a.lotteryPrepared {
		return a.lottery.Score(team, a.ledger.Account(team), a.weightOf(team))
	}
	a.lotteryPrepared = true
	candidates := make([]fairness.Candidate, 0, len(a.waiting))
	for waiting := range a.waiting {
		candidates = append(candidates, fairness.Candidate{Account: a.ledger.Account(waiting), Weight: a.weightOf(waiting)})
	}
	a.lottery.Prepare(candidates, a.pendingCost())
	return a.Account(team)
}

// pendingCost returns the estimated cost that the service's upstreams grant while
// a charge is propagated to all sidecars, at least that of one request.
func (a *dispatchAccounts) pendingCost() float64 {
	grants := 1.0
	if a.runTime > 0 {
		grants = max(1, float64(a.serviceSlots)*propagationDelay.Seconds()/a.runTime.Seconds())
	}
	return grants * a.ledger.MeanCost()
}

// Reserve implements dispatch.Accounts.
func (a *dispatchAccounts) Reserve(team fleet.TeamID) {
	a.lotteryPrepared = false
	a.lastID++
	a.ledger.Begin(a.lastID, team, 0, a.now)
	a.reserved[team] = append(a.reserved[team], a.lastID)
}

// Release implements dispatch.Accounts.
func (a *dispatchAccounts) Release(team fleet.TeamID) {
	ids := a.reserved[team]
	if len(ids) == 0 {
		return
	}
	last := len(ids) - 1
	a.ledger.Release(ids[last], a.now)
	if last == 0 {
		delete(a.reserved, team)
		return
	}
	a.reserved[team] = ids[:last]
}

// recordRunTime adds the run time of a request to the moving average.
func (s *scheduler) recordRunTime(elapsed time.Duration) {
	if s.runTime == 0 {
		s.runTime = elapsed
		return
	}
	s.runTime += (elapsed - s.runTime) / runTimeDivisor
}
