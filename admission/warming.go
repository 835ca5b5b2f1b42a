package admission

import (
	"math"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// ColdView is the cold period of an upstream.
type ColdView struct {
	RemainingMs int64        `json:"remaining_ms"`
	Cause       warmup.Cause `json:"cause"`
	// Sender is set if this router may send to the upstream while it is cold.
	Sender bool `json:"sender"`
}

// maxRegisteredColdStarts bounds the cold time that a registration states, in multiples of
// the service's ColdStart, because another writer may have replaced the registration.
const maxRegisteredColdStarts = 2

func coldLimits(o Options, c Capacity) warmup.Limits {
	return warmup.Limits{Rate: c.ColdRate, Overage: o.ColdOverage, Slack: o.ColdSlack, ColdStart: c.ColdStart}
}

// SetFleet replaces the routers from which the senders to cold upstreams are chosen.
func (s *Scheduler) SetFleet(f *warmup.Fleet) { s.warming.SetFleet(f) }

// TakeColdPeriods returns the cold periods that have begun since the previous call.
func (s *Scheduler) TakeColdPeriods() []warmup.Period { return s.warming.TakeBegun() }

// MarkRegisteredCold begins the cold periods that follow from the registrations passed to
// SetUpstreams.
func (s *Scheduler) MarkRegisteredCold(now time.Time) {
	s.warming.Expire(now)
	coldStart := s.warming.ColdStart()
	for _, id := range s.ids {
		u := s.upstreams[id]
		if !u.RestartedAt.IsZero() {
			s.markCold(now, u, u.RestartedAt.Add(coldStart), warmup.Restarted)
		}
		if u.ColdRemaining > 0 {
			remaining := min(u.ColdRemaining, maxRegisteredColdStarts*coldStart)
			s.markCold(now, u, u.ColdSince.Add(remaining), warmup.Registered)
		}
	}
}

// MarkDomainsCold begins cold periods of the upstreams of failure domains whose evacuation
// ended at the given time.
func (s *Scheduler) MarkDomainsCold(now time.Time, domains []fleet.FailureDomainID) {
	for _, id := range s.ids {
		if u := s.upstreams[id]; slices.Contains(domains, u.Domain) {
			s.markCold(now, u, now.Add(s.warming.ColdStart()), warmup.Returned)
		}
	}
}

// MarkReportedCold begins the cold period that a response of an upstream states.
func (s *Scheduler) MarkReportedCold(now time.Time, id fleet.UpstreamID, remaining time.Duration) {
	if u := s.upstreams[id]; u != nil {
		remaining = min(remaining, maxRegisteredColdStarts*s.warming.ColdStart())
		s.markCold(now, u, now.Add(remaining), warmup.Reported)
	}
}

// markEjectedCold begins the cold period of an upstream that was just ejected. It may have
// restarted, or restart until the ejection ends, before its new registration is known. The period
// begins at once, because ejected upstreams are used if no others are left.
func (s *Scheduler) markEjectedCold(now time.Time, u *upstream) {
	s.markCold(now, u, u.detector.EjectedUntil().Add(s.warming.ColdStart()), warmup.Ejected)
}

func (s *Scheduler) markCold(now time.Time, u *upstream, until time.Time, cause warmup.Cause) {
	s.warming.MarkCold(now, s.incarnation(u.Upstream), until, cause)
}

// mostEjected reports whether most upstreams count as cold only because this router has
// ejected them. The cause is then this router's own network rather than so many restarts.
func (s *Scheduler) mostEjected(now time.Time) bool {
	registered := func(id fleet.UpstreamID) bool { return s.upstreams[id] != nil }
	return 2*s.warming.Count(now, warmup.Ejected, registered) > len(s.ids)
}

// withinLimits reports whether the limits on requests to a candidate allow this router to send
// to it now: it is not paused, and it is not cold and names no limit, or this router is one of its
// senders and has a slot. It records the result in the candidate.
func (s *Scheduler) withinLimits(b bounds, c *candidate) bool {
	if c.paused {
		return false
	}
	c.overLimit = !s.warming.WithinLimit(b.now, c.upstream.ID, b.holdback)
	c.passedOver = c.overLimit || !s.warming.MaySend(b.now, c.upstream.ID) && !s.wronglyEjected(b, c)
	return !c.passedOver
}

// wronglyEjected reports whether a candidate counts as cold only because of a failure of
// this router's own network.
func (s *Scheduler) wronglyEjected(b bounds, c *candidate) bool {
	period, _ := s.warming.Period(b.now, c.upstream.ID)
	return b.mostEjected && period.Cause == warmup.Ejected
}

// cold reports whether an upstream is cold.
func (s *Scheduler) cold(now time.Time, id fleet.UpstreamID) bool {
	_, cold := s.warming.Period(now, id)
	return cold
}

func countCandidates(candidates []candidate, matches func(c *candidate) bool) int {
	count := 0
	for i := range candidates {
		if matches(&candidates[i]) {
			count++
		}
	}
	return count
}

func countPassedOver(candidates []candidate) int {
	return countCandidates(candidates, func(c *candidate) bool { return c.passedOver })
}

func countOverLimit(candidates []candidate) int {
	return countCandidates(candidates, func(c *candidate) bool { return c.overLimit })
}

// passedOverCounts returns a decision with the numbers of candidates that were passed over, by
// reason.
func passedOverCounts(candidates []candidate) Decision {
	paused, overLimit := countPaused(candidates), countOverLimit(candidates)
	return Decision{PassedOver: countPassedOver(candidates) - overLimit - paused, OverLimit: overLimit, Paused: paused}
}

// refusalDelay returns the time until a refused request is predicted to be admitted: until
// the next slot of a candidate that was passed over, or until the cheapest other candidate
// is on time, given as untilOnTime, whichever is sooner.
func (s *Scheduler) refusalDelay(b bounds, candidates []candidate, untilOnTime time.Duration) time.Duration {
	delay := untilOnTime
	if countPassedOver(candidates) == len(candidates) {
		delay = math.MaxInt64 // There is no other candidate.
	}
	for i := range candidates {
		if candidates[i].passedOver {
			id := candidates[i].upstream.ID
			untilSlot := max(s.warming.NextSend(b.now, id).Sub(b.now), s.warming.NextWithinLimit(b.now, id, b.holdback).Sub(b.now),
				s.warming.NextResume(b.now, id).Sub(b.now))
			delay = min(delay, untilSlot)
		}
	}
	return delay
}

func (s *Scheduler) coldView(now time.Time, id fleet.UpstreamID) *ColdView {
	period, cold := s.warming.Period(now, id)
	if !cold {
		return nil
	}
	return &ColdView{RemainingMs: period.Until.Sub(now).Milliseconds(), Cause: period.Cause, Sender: period.Sender}
}
