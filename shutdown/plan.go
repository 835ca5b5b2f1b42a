// Package shutdown decides which requests a process that is about to end still takes. The load
// that it answers is a planned stop under requests whose deadlines lie beyond the end of the
// process: early in it, those that usually end in time are worth taking, the others are better
// served elsewhere than cut. It has no clock.
package shutdown

import "time"

// retryElsewhere is when a caller that is refused may send again if another router accepts it.
const retryElsewhere = 50 * time.Millisecond

const (
	// finalAnswerTime is how long before the end the last requests are answered, so that the
	// answers still reach their callers. Of a short shutdown it is maxFinalFraction at most.
	finalAnswerTime  = 200 * time.Millisecond
	maxFinalFraction = 0.25
	// estimateFraction is the part of the withdrawal in which estimates count. The rest covers
	// a signal that is handled late.
	estimateFraction = 0.75
)

// Plan is the plan of a shutdown.
type Plan struct {
	// EstimatesUntil is until when a request is taken because such requests usually end in time.
	// Some of them take longer, and later there are fewer callers for whom that is worth it.
	EstimatesUntil time.Time
	// AnswerBy is when every request must have been answered.
	AnswerBy time.Time
	// End is when the process has closed all connections.
	End time.Time
}

// NewPlan returns the plan of a shutdown that begins now. withdrawal is how long callers are still
// sent to this process.
func NewPlan(now, end time.Time, withdrawal time.Duration) Plan {
	final := min(finalAnswerTime, time.Duration(maxFinalFraction*float64(end.Sub(now))))
	estimates := time.Duration(estimateFraction * float64(withdrawal))
	return Plan{EstimatesUntil: now.Add(estimates), AnswerBy: end.Add(-final), End: end}
}

// Request is what a decision on a request is based on.
type Request struct {
	// Expires is the request's deadline.
	Expires time.Time
	// Usual is how long such requests take at most, as a rule; zero if unknown.
	Usual time.Duration
	// Begun is set if the response has begun. A refusal would break it off at once, so there
	// is nothing to lose by going on.
	Begun bool
}

// Takes reports whether a request can be expected to be answered in time. One that expires
// before AnswerBy can, whatever becomes of it.
func (p Plan) Takes(now time.Time, r Request) bool {
	left := p.AnswerBy.Sub(now)
	if left <= 0 {
		return false
	}
	usuallyEnds := now.Before(p.EstimatesUntil) && r.Usual > 0 && r.Usual <= left
	return r.Begun || !r.Expires.After(p.AnswerBy) || usuallyEnds
}

// Deadline returns the deadline of a request that is taken: an answer after AnswerBy can't be
// delivered.
func (p Plan) Deadline(expires time.Time) time.Time {
	if expires.After(p.AnswerBy) {
		return p.AnswerBy
	}
	return expires
}

// RetryAfter returns when the caller of a refused request may send it again: soon if another
// router accepts it, otherwise when this process may have been replaced.
func (p Plan) RetryAfter(now time.Time, othersServe bool) time.Duration {
	if othersServe {
		return retryElsewhere
	}
	return max(p.End.Sub(now), retryElsewhere)
}
