package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// candidate is an upstream that a request may be sent to.
type candidate struct {
	upstream  *upstream
	predicted time.Duration
	// cost is predicted with the price of the place.
	cost    time.Duration
	prefill int
	// cached is the tokens of the prompt that it keeps.
	cached  int
	backlog float64
	full    bool
	// copyFrom is the address of an engine to copy cached parts from.
	copyFrom string
	// copyTokens is the tokens to copy, and copiedOver how far.
	copyTokens   int
	copyDistance fleet.Distance
	// cold candidates would have to read shared parts that another one keeps, or
	// is about to read.
	cold bool
	// ranked candidates are taken in their order, others by their cost.
	ranked bool
}

// bounds is what a candidate has to keep to.
type bounds struct {
	// limit is how long the request may wait for its first token.
	limit time.Duration
	// busy is set while the engines have little room on the mean.
	busy bool
}

// choose returns the best upstream that would answer on time, or the refusal.
func (s *Scheduler) choose(now time.Time, r Request, ratio float64) (*candidate, Decision) {
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return nil, Decision{Reason: NoUpstream, RetryAfter: s.options.Outlier.BaseEjection}
	}
	limit := s.waitLimit(r, ratio)
	b := bounds{limit: limit, busy: s.meanQueueTime(now) > limit/busyWaitDivisor}
	if best := s.best(r, candidates, b); best != nil {
		return best, Decision{}
	}
	nearest := cheapest(candidates)
	refused := Decision{Reason: Overloaded, RetryAfter: s.retryAfter(nearest, limit), Predicted: nearest.predicted}
	b.limit = s.waitLimit(r, 0)
	if limit < b.limit && s.onTime(r, nearest, b) {
		refused.Reason = OverShare
	}
	return nil, refused
}

// best returns the cheapest candidate that keeps to the bounds, or the first one
// of those that are taken in their order.
func (s *Scheduler) best(r Request, candidates []candidate, b bounds) *candidate {
	var best *candidate
	for i := range candidates {
		c := &candidates[i]
		if !s.allowed(r, c, b) {
			continue
		}
		if best == nil || !c.ranked && c.cost < best.cost {
			best = c
		}
	}
	return best
}

func (s *Scheduler) allowed(r Request, c *candidate, b bounds) bool {
	if c.cold && (b.busy || s.queueTime(c) > b.limit/coldWaitDivisor) {
		return false
	}
	return !c.full && s.onTime(r, c, b)
}

func cheapest(candidates []candidate) *candidate {
	best := &candidates[0]
	for i := range candidates {
		if candidates[i].cost < best.cost {
			best = &candidates[i]
		}
	}
	return best
}

// coldWaitDivisor is the part of the limit that a request may wait for others at an
// engine that has to read shared parts that another one keeps: reading them costs
// more than the request itself, so that only idle engines do it.
const coldWaitDivisor = 8

// busyWaitDivisor is the part of the limit from which on the mean wait at all engines
// leaves no room for reading shared parts twice.
const busyWaitDivisor = 8

// meanQueueTime returns how long a prompt waits for others, over all engines.
func (s *Scheduler) meanQueueTime(now time.Time) time.Duration {
	if len(s.ids) == 0 {
		return 0
	}
	total := 0.0
	for _, id := range s.ids {
		total += s.upstreams[id].backlog(now, s.speed().Rate)
	}
	mean := total / float64(len(s.ids))
	return s.speed().prefillTime(mean)
}

// The wait of a team narrows from waitTaperStart of its share on, and is the one of teams
// over their share at waitTaperEnd. From there on it is shorter the further over it is.
const (
	waitTaperStart = 0.3
	waitTaperEnd   = 1.1
)

// waitLimit returns how long a request may wait for its first token, by what its team
// was served relative to its share.
func (s *Scheduler) waitLimit(r Request, ratio float64) time.Duration {
	part := s.options.MaxWait
	if r.Waited > 0 && r.Waited < r.Objective {
		// A refused caller comes back once: it goes ahead of new ones while it
		// may still be answered on time.
		part = s.options.ReturnWait
	}
	if ratio > waitTaperStart {
		over := min(1, (ratio-waitTaperStart)/(waitTaperEnd-waitTaperStart))
		part -= over * (part - s.options.OverShareWait)
	}
	if ratio > waitTaperEnd {
		part *= waitTaperEnd / ratio
	}
	return time.Duration(part * float64(r.Objective))
}

// onTime reports whether a candidate would answer within the limit. A request whose
// own prompt takes long is sent where it has not to wait long for others.
func (s *Scheduler) onTime(r Request, c *candidate, b bounds) bool {
	if r.Elapsed+c.predicted <= b.limit {
		return true
	}
	queueing := s.queueTime(c)
	alone := c.predicted - queueing
	room := b.limit
	if b.busy {
		room /= busyLongPromptDivisor
	}
	return alone > b.limit && r.Elapsed+queueing <= room
}

// busyLongPromptDivisor divides the limit for prompts that are late by themselves while other
// requests wait.
const busyLongPromptDivisor = 4

// queueTime is the part of the prediction that other requests cause.
func (s *Scheduler) queueTime(c *candidate) time.Duration {
	if len(s.upstreams) == 0 || s.capacity.MemoryTokens == 0 {
		return 0
	}
	return s.speed().prefillTime(c.backlog)
}

// retryAfter returns when the nearest candidate will have read enough.
func (s *Scheduler) retryAfter(nearest *candidate, limit time.Duration) time.Duration {
	return max(nearest.predicted-limit, s.options.Overhead)
}
