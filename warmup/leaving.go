package warmup

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// maxLeaving bounds the upstreams in a Tracker that have said that they leave, and those that
// have asked for a pause.
const maxLeaving = 4096

// Leaving is an upstream that has said in a response that it leaves. It gets no new requests,
// whatever its registration says, until it starts again or is found to serve after all.
type Leaving struct {
	Upstream Upstream
	// HeardAt is when it last said so.
	HeardAt time.Time
	// checkedAt is when it was last asked whether it serves; zero if it was not.
	checkedAt time.Time
}

// MarkLeaving records that a response of an upstream said that it leaves. It reports whether
// that was not known. What an earlier incarnation than the registered one said is ignored.
func (t *Tracker) MarkLeaving(now time.Time, u Upstream) bool {
	if t.isBehind(u) {
		return false
	}
	l := t.leaving[u.ID]
	if l != nil && l.Upstream.StartedUnixMs == u.StartedUnixMs {
		l.HeardAt = now
		return false
	}
	if l == nil && len(t.leaving) >= maxLeaving {
		return false
	}
	t.leaving[u.ID] = &Leaving{Upstream: u, HeardAt: now}
	return true
}

// IsLeaving reports whether an upstream has said that it leaves.
func (t *Tracker) IsLeaving(id fleet.UpstreamID) bool {
	if len(t.leaving) == 0 {
		return false
	}
	_, leaving := t.Leaving(id)
	return leaving
}

// Leaving returns the upstream with an identifier if it has said that it leaves.
func (t *Tracker) Leaving(id fleet.UpstreamID) (Leaving, bool) {
	l := t.leaving[id]
	if l == nil || t.isBehind(l.Upstream) || t.isAhead(l.Upstream) {
		return Leaving{}, false
	}
	return *l, true
}

// MarkServing records that an upstream which was asked at a time said that it serves and does
// not leave. It reports whether it counted as leaving. An upstream that has said that it
// leaves since then still does.
func (t *Tracker) MarkServing(asked time.Time, u Upstream) bool {
	l := t.leaving[u.ID]
	if l == nil || l.Upstream.StartedUnixMs != u.StartedUnixMs || l.HeardAt.After(asked) {
		return false
	}
	delete(t.leaving, u.ID)
	return true
}

// TakeLeavingChecks returns the registered upstreams that count as leaving and have not been
// heard or asked for an interval. They count as asked now.
func (t *Tracker) TakeLeavingChecks(now time.Time, interval time.Duration) []Upstream {
	var due []Upstream
	for id, l := range t.leaving {
		started, registered := t.registered[id]
		last := l.HeardAt
		if l.checkedAt.After(last) {
			last = l.checkedAt
		}
		if !registered || started != l.Upstream.StartedUnixMs || now.Sub(last) < interval {
			continue
		}
		l.checkedAt = now
		due = append(due, l.Upstream)
	}
	return due
}

// isBehind reports whether an incarnation is earlier than the registered one.
func (t *Tracker) isBehind(u Upstream) bool {
	started, ok := t.registered[u.ID]
	return ok && u.StartedUnixMs < started
}

// expireLeaving forgets upstreams that have started again, and those that are no longer
// registered and have not been heard for a while.
func (t *Tracker) expireLeaving(now time.Time) {
	for id, l := range t.leaving {
		if cause, ended := t.hasEnded(now, l.Upstream, l.HeardAt); ended {
			t.recordEnd(SaidLeaving, l.Upstream, l.HeardAt, cause)
			delete(t.leaving, id)
		}
	}
}

// hasEnded reports whether an incarnation that was last heard at a time has started again or
// been gone for a while.
func (t *Tracker) hasEnded(now time.Time, u Upstream, heardAt time.Time) (EndCause, bool) {
	if t.isBehind(u) {
		return StartedAgain, true
	}
	_, registered := t.registered[u.ID]
	return Forgotten, !registered && now.Sub(heardAt) > limitRetention
}
