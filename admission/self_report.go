package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// LeavingView is what is known of an upstream that has said that it leaves.
type LeavingView struct {
	// AgeMs is the time since it last said so.
	AgeMs int64 `json:"age_ms"`
	// StartedUnixMs is the start of the incarnation that said so, zero if unknown.
	StartedUnixMs int64 `json:"started_ms"`
}

// PauseView is the pause that an upstream has asked for.
type PauseView struct {
	// AgeMs is the time since it asked for it.
	AgeMs int64 `json:"age_ms"`
	// RemainingMs is the time until this router sends again, negative once a request is to find
	// out whether the pause is over.
	RemainingMs int64 `json:"remaining_ms"`
}

// ReportChange is what a report changed in what is known of its upstream.
type ReportChange struct {
	// Leaving is set if the upstream has said for the first time that it leaves.
	Leaving bool
	// Paused is set if the upstream has begun or prolonged a pause.
	Paused bool
}

// ObserveReport records what an upstream said in a response to a request that was sent at a time,
// as far as it keeps requests from it altogether. The upstream is the one that the request was
// sent to, which may have been replaced since.
func (s *Scheduler) ObserveReport(now, sent time.Time, to registry.Upstream, report exchange.SelfReport) ReportChange {
	u := s.incarnation(to)
	var change ReportChange
	if report.Leaving {
		change.Leaving = s.warming.MarkLeaving(now, sent, u)
	}
	if report.Pause > 0 {
		change.Paused = s.warming.ObservePause(now, sent, u, report.Pause)
	} else {
		s.warming.ObserveResponse(u.ID, sent)
	}
	return change
}

// MaySend reports whether a request that was admitted to an upstream may still be sent: the
// upstream has not said meanwhile that it leaves or wants a pause.
func (s *Scheduler) MaySend(now time.Time, id fleet.UpstreamID) bool {
	return !s.leaving(id) && !s.warming.Paused(now, id)
}

// TakeLeavingChecks returns the registered upstreams that may have said, or another incarnation of
// them, that they leave, and have not been heard or asked for an interval. They count as asked now.
func (s *Scheduler) TakeLeavingChecks(now time.Time, interval time.Duration) []registry.Upstream {
	var due []registry.Upstream
	for _, u := range s.warming.TakeLeavingChecks(now, interval) {
		if known := s.upstreams[u.ID]; known != nil {
			due = append(due, known.Upstream)
		}
	}
	return due
}

// MarkServing records that an upstream which was asked at a time serves and does not leave. It
// reports whether it counted as leaving.
func (s *Scheduler) MarkServing(asked time.Time, u registry.Upstream) bool {
	return s.warming.MarkServing(asked, s.incarnation(u))
}

// TakeEndedReports returns what upstreams said of themselves that has ended since the previous
// call.
func (s *Scheduler) TakeEndedReports() []warmup.Ended { return s.warming.TakeEnded() }

func (s *Scheduler) leaving(id fleet.UpstreamID) bool {
	return s.warming.IsLeaving(id)
}

// reduced reports whether an upstream names a limit or has asked for a pause. Since it takes less
// than its usual load, prompts are placed as if it were not there.
func (s *Scheduler) reduced(id fleet.UpstreamID) bool {
	return s.warming.HasPause(id) || s.limited(id)
}

func (s *Scheduler) leavingView(now time.Time, id fleet.UpstreamID) *LeavingView {
	l, leaving := s.warming.Leaving(id)
	if !leaving {
		return nil
	}
	return &LeavingView{AgeMs: now.Sub(l.HeardAt).Milliseconds(), StartedUnixMs: l.Upstream.StartedUnixMs}
}

func (s *Scheduler) pauseView(now time.Time, id fleet.UpstreamID) *PauseView {
	p, paused := s.warming.Pause(id)
	if !paused {
		return nil
	}
	return &PauseView{AgeMs: now.Sub(p.HeardAt).Milliseconds(), RemainingMs: p.ResumeAt.Sub(now).Milliseconds()}
}

// passOverPaused marks the candidates whose pause lets this router send no request now.
func (s *Scheduler) passOverPaused(now time.Time, candidates []candidate) {
	for i := range candidates {
		c := &candidates[i]
		c.paused = !s.warming.MayResume(now, c.upstream.ID)
		c.passedOver = c.paused
	}
}

func countPaused(candidates []candidate) int {
	return countCandidates(candidates, func(c *candidate) bool { return c.paused })
}
