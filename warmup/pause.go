package warmup

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// MaxPause bounds the pause that an upstream asks for, so that a wrong value does not
	// take it out of service for good.
	MaxPause = time.Hour
	// resumeSpreadFraction is the part of a pause, up to maxResumeSpread, over which the
	// routers spread their first requests after it.
	resumeSpreadFraction = 0.25
	maxResumeSpread      = time.Second
	// trialWait is when a request may be tried again while another one finds out whether the
	// upstream takes requests.
	trialWait = 100 * time.Millisecond
)

// Pause is the time for which an upstream wants no requests from this router.
type Pause struct {
	Upstream Upstream
	// HeardAt is when the upstream last asked for it.
	HeardAt time.Time
	// Until is its end, and ResumeAt when this router sends again. From then on it sends one
	// request, and others once that has got a response that asks for no further pause.
	Until, ResumeAt time.Time
	// origin tells which incarnations may have asked for it.
	origin origin
	// trialAt is when that request was sent; zero if it was not, or got no response.
	trialAt time.Time
}

func (p *Pause) endsAt() time.Time { return p.Until }

// ObservePause records that the response to a request, which was sent to an upstream at a time,
// asked for a pause from now on. It reports whether that begins or prolongs one: a shorter one does
// not end what the upstream asked for before. What an earlier incarnation than the registered one
// asked for is ignored.
func (t *Tracker) ObservePause(now, sent time.Time, u Upstream, length time.Duration) bool {
	o := origin{startedUnixMs: u.StartedUnixMs, sentAt: sent}
	if length <= 0 || t.hasStartedSince(u.ID, o) {
		return false
	}
	length = min(length, MaxPause)
	until := now.Add(length)
	if p := t.pauses[u.ID]; p != nil {
		p.origin.extend(o)
		if !until.After(p.Until) {
			return false
		}
		o = p.origin
	}
	u.StartedUnixMs = o.startedUnixMs
	t.pauses[u.ID] = &Pause{Upstream: u, HeardAt: now, Until: until, ResumeAt: until.Add(t.resumeSpread(u.ID, length)), origin: o}
	return true
}

// resumeSpread returns by how much this router's first request after a pause is delayed, so
// that the routers do not send theirs at the same moment.
func (t *Tracker) resumeSpread(id fleet.UpstreamID, pause time.Duration) time.Duration {
	if t.fleet.Size() < 2 {
		return 0
	}
	longest := min(time.Duration(resumeSpreadFraction*float64(pause)), maxResumeSpread)
	position := float64(score(xxhash.Sum64String(string(id)), xxhash.Sum64String(string(t.fleet.self)))) / math.MaxUint64
	return time.Duration(position * float64(longest))
}

// Pause returns the pause that an upstream asked for, until a request has found that it is
// over.
func (t *Tracker) Pause(id fleet.UpstreamID) (Pause, bool) {
	p := t.pauses[id]
	if p == nil {
		return Pause{}, false
	}
	return *p, true
}

// HasPause reports whether an upstream has asked for a pause that is not known to be over.
func (t *Tracker) HasPause(id fleet.UpstreamID) bool { return t.pauses[id] != nil }

// Paused reports whether an upstream wants no requests now.
func (t *Tracker) Paused(now time.Time, id fleet.UpstreamID) bool {
	p := t.pauses[id]
	return p != nil && now.Before(p.ResumeAt)
}

// MayResume reports whether the pause that an upstream asked for, if any, lets this router
// admit a request to it now.
func (t *Tracker) MayResume(now time.Time, id fleet.UpstreamID) bool {
	p := t.pauses[id]
	return p == nil || !now.Before(p.ResumeAt) && p.trialAt.IsZero()
}

// NextResume returns the earliest time at which the pause of an upstream may let this router
// admit a request.
func (t *Tracker) NextResume(now time.Time, id fleet.UpstreamID) time.Time {
	p := t.pauses[id]
	switch {
	case p == nil:
		return now
	case now.Before(p.ResumeAt):
		return p.ResumeAt
	case p.trialAt.IsZero():
		return now
	}
	return now.Add(trialWait)
}

// ObserveResponse records that an upstream responded, without asking for a pause, to a request
// that was sent at a time. This ends its pause if the request was sent after it.
func (t *Tracker) ObserveResponse(id fleet.UpstreamID, sent time.Time) {
	p := t.pauses[id]
	if p != nil && !p.trialAt.IsZero() && !sent.Before(p.trialAt) {
		delete(t.pauses, id)
	}
}

// RecordEnd records the end of a request that was recorded as sent at a time.
func (t *Tracker) RecordEnd(id fleet.UpstreamID, sent time.Time) {
	if p := t.pauses[id]; p != nil && p.trialAt.Equal(sent) {
		p.trialAt = time.Time{}
	}
}

func (t *Tracker) recordTrial(now time.Time, id fleet.UpstreamID) {
	if p := t.pauses[id]; p != nil && !now.Before(p.ResumeAt) {
		p.trialAt = now
	}
}

// expirePauses ends the pauses of upstreams that have started again or have been gone for a while,
// and those beyond maxReports.
func (t *Tracker) expirePauses(now time.Time) {
	for id, p := range t.pauses {
		_, registered := t.registered[id]
		switch {
		case t.hasStartedSince(id, p.origin):
			t.endPause(id, StartedAgain)
		case !registered && now.Sub(p.Until) > limitRetention:
			t.endPause(id, Forgotten)
		}
	}
	for _, id := range excess(t.pauses, t.registered) {
		t.endPause(id, Forgotten)
	}
}

func (t *Tracker) endPause(id fleet.UpstreamID, cause EndCause) {
	p := t.pauses[id]
	t.recordEnd(SaidPause, p.Upstream, p.HeardAt, cause)
	delete(t.pauses, id)
}
