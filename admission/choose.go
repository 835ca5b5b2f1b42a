package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// candidate is an upstream considered for a request.
type candidate struct {
	upstream *upstream
	// predicted is the predicted time to first token or, at a plain upstream, to the
	// end of the answer.
	predicted time.Duration
	// cost is predicted plus the penalties for a remote region, a cache copy, load
	// and failures.
	cost time.Duration
	// prefill is the prefill work of the request in tokens.
	prefill int
	// cached is the number of prompt tokens in the upstream's cache.
	cached int
	// backlog is the prefill work in tokens that is ahead of the request.
	backlog float64
	// full is set if the request would exceed the usable part of the upstream's
	// slots, memory or connections.
	full bool
	// copyFrom is the address of the engine to copy cached parts from, if any.
	copyFrom string
	// copyTokens is the number of tokens to copy, and copyDistance the distance
	// between the two engines.
	copyTokens   int
	copyDistance fleet.Distance
	// cacheMiss is set if the engine would have to prefill shared parts that another
	// engine has cached or is the preferred one to cache.
	cacheMiss bool
	// passedOver is set if the candidate is acceptable but for a limit on requests to it,
	// because it is paused, names one or is cold. The first two are paused and overLimit.
	passedOver bool
	paused     bool
	overLimit  bool
	// ranked is set if candidates are tried in placement order instead of by cost.
	ranked bool
}

// bounds limits which candidates are acceptable.
type bounds struct {
	// limit is the maximum time to first token.
	limit time.Duration
	// busy is set if the mean queueing time of the engines exceeds the limit divided
	// by busyWaitDivisor.
	busy bool
	// now is the time of the decision.
	now time.Time
	// fastest is the highest speed factor of the candidates.
	fastest float64
	// holdback is for how long the request leaves slots of limited upstreams to other teams.
	holdback float64
	// mostEjected is set if most upstreams count as cold because they were ejected.
	mostEjected bool
}

// choose returns the best upstream that is predicted to answer on time, or else nil
// and the refusal.
func (s *Scheduler) choose(now time.Time, r Request, ratio float64) (*candidate, Decision) {
	usable := s.usable(now, r)
	candidates := s.candidates(now, r, usable)
	if len(candidates) == 0 {
		return nil, Decision{Reason: s.unavailable(r), RetryAfter: s.options.Outlier.BaseEjection}
	}
	s.passOverPaused(now, candidates)
	limit := s.waitLimit(r, ratio)
	b := bounds{
		limit: limit, busy: s.meanQueueTime(now, usable) > limit/busyWaitDivisor, now: now, fastest: fastestFactor(candidates),
		mostEjected: s.mostEjected(now), holdback: limitHoldback(ratio),
	}
	if best := s.best(r, candidates, b); best != nil {
		return best, passedOverCounts(candidates)
	}
	fallback := s.cheapest(candidates, b)
	refused := passedOverCounts(candidates)
	refused.Reason, refused.RetryAfter = Overloaded, s.refusalDelay(b, candidates, s.retryAfter(fallback, limit))
	refused.Predicted, refused.SpeedFactor = fallback.predicted, fallback.upstream.factor
	b.limit = s.waitLimit(r, 0)
	if limit < b.limit && !fallback.passedOver && s.onTime(r, fallback, b) {
		refused.Reason = OverShare
	}
	return nil, refused
}

// best returns the cheapest acceptable candidate, or the first acceptable one if the
// candidates are ranked. It returns nil if none is acceptable.
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
	if c.cacheMiss && (b.busy || s.queueTime(c) > b.limit/cacheMissWaitDivisor) {
		return false
	}
	return !c.full && s.onTime(r, c, b) && s.withinLimits(b, c)
}

// cheapest returns the cheapest candidate, of those that may accept the request later if
// there are any. One that is passed over or too slow will not, whatever its queue.
func (s *Scheduler) cheapest(candidates []candidate, b bounds) *candidate {
	best := &candidates[0]
	bestUnsuitable := best.passedOver || s.tooSlow(best, b)
	for i := range candidates {
		c := &candidates[i]
		unsuitable := c.passedOver || s.tooSlow(c, b)
		if unsuitable == bestUnsuitable && c.cost < best.cost || bestUnsuitable && !unsuitable {
			best, bestUnsuitable = c, unsuitable
		}
	}
	return best
}

// cacheMissWaitDivisor divides the limit to give the maximum queueing time at a candidate
// that lacks cached parts.
// Prefilling shared parts that another engine has cached costs more than the rest of the
// request, so only idle engines do it.
const cacheMissWaitDivisor = 8

// busyWaitDivisor divides the limit to give the mean queueing time above which the engines
// count as busy and have no capacity left for prefilling shared parts on a second engine.
const busyWaitDivisor = 8

// meanQueueTime returns the mean queueing time over the engines that a request may use and that
// are not paused.
func (s *Scheduler) meanQueueTime(now time.Time, usable []fleet.UpstreamID) time.Duration {
	total, count := time.Duration(0), 0
	for _, id := range usable {
		if s.warming.Paused(now, id) {
			continue
		}
		u := s.upstreams[id]
		speed := s.speedOf(u)
		total += speed.prefillTime(u.backlog(now, speed.Rate))
		count++
	}
	return total / time.Duration(max(count, 1))
}

// The waiting limit of a team falls linearly from MaxWait or ReturnWait to OverShareWait as
// its share ratio rises from waitTaperStart to waitTaperEnd. Above waitTaperEnd it is
// inversely proportional to the ratio.
const (
	waitTaperStart = 0.3
	waitTaperEnd   = 1.1
)

// waitLimit returns the maximum time to first token of a request, given the share ratio
// of its team.
func (s *Scheduler) waitLimit(r Request, ratio float64) time.Duration {
	fraction := s.options.MaxWait
	if r.Waited > 0 && r.Waited < r.Objective {
		// A refused caller retries once. It takes precedence over new requests as
		// long as it can still be answered on time.
		fraction = s.options.ReturnWait
	}
	if ratio > waitTaperStart {
		over := min(1, (ratio-waitTaperStart)/(waitTaperEnd-waitTaperStart))
		fraction -= over * (fraction - s.options.OverShareWait)
	}
	if ratio > waitTaperEnd {
		fraction *= waitTaperEnd / ratio
	}
	return time.Duration(fraction * float64(r.Objective))
}

// onTime reports whether a candidate is predicted to answer within the limit. A request
// whose own prefill exceeds the limit even at the fastest candidate is accepted if its queueing
// time is within the limit, which is divided by busyLongPromptDivisor while the engines are
// busy. A request that only slower candidates answer late is not accepted there.
func (s *Scheduler) onTime(r Request, c *candidate, b bounds) bool {
	if r.Elapsed+c.predicted <= b.limit {
		return true
	}
	queueing := s.queueTime(c)
	alone := c.predicted - queueing - s.slowness(c, b)
	queueLimit := b.limit
	if b.busy {
		queueLimit /= busyLongPromptDivisor
	}
	return alone > b.limit && r.Elapsed+queueing <= queueLimit
}

// busyLongPromptDivisor divides the queueing limit of prompts whose own prefill exceeds
// the limit, while other requests are queued.
const busyLongPromptDivisor = 4

// queueTime returns the part of the predicted time that other requests cause. It is
// zero for plain services.
func (s *Scheduler) queueTime(c *candidate) time.Duration {
	if len(s.upstreams) == 0 || s.capacity.MemoryTokens == 0 {
		return 0
	}
	return s.speedOf(c.upstream).prefillTime(c.backlog)
}

// retryAfter returns the time until a candidate is predicted to be within the limit.
func (s *Scheduler) retryAfter(c *candidate, limit time.Duration) time.Duration {
	return max(c.predicted-limit, s.options.Overhead)
}
