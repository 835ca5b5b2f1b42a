package warmup

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// maxReports bounds the upstreams that are not registered and of which a Tracker remembers that they
// leave, or that they asked for a pause.
const maxReports = 4096

// Leaving is an upstream that has said in a response that it leaves. It gets no new requests,
// whatever its registration says, until a later incarnation is registered. Only where the
// registered incarnation may be another one can a health check find that it serves.
type Leaving struct {
	Upstream Upstream
	// HeardAt is when it last said so.
	HeardAt time.Time
	// origin tells which incarnations may have said so.
	origin origin
	// checkedAt is when it was last asked whether it serves; zero if it was not.
	checkedAt time.Time
}

func (l *Leaving) endsAt() time.Time { return l.HeardAt }

// MarkLeaving records that the response to a request, which was sent to an upstream at a time, said
// that it leaves. It reports whether that was not known. What an earlier incarnation than the
// registered one said is ignored.
func (t *Tracker) MarkLeaving(now, sent time.Time, u Upstream) bool {
	o := origin{startedUnixMs: u.StartedUnixMs, sentAt: sent}
	if t.hasStartedSince(u.ID, o) {
		return false
	}
	if l := t.leaving[u.ID]; l != nil {
		l.HeardAt = now
		l.origin.extend(o)
		l.Upstream.StartedUnixMs = l.origin.startedUnixMs
		return false
	}
	t.leaving[u.ID] = &Leaving{Upstream: u, HeardAt: now, origin: o}
	return true
}

// IsLeaving reports whether an upstream has said that it leaves.
func (t *Tracker) IsLeaving(id fleet.UpstreamID) bool {
	return len(t.leaving) > 0 && t.leaving[id] != nil
}

// Leaving returns the upstream with an identifier if it has said that it leaves.
func (t *Tracker) Leaving(id fleet.UpstreamID) (Leaving, bool) {
	l := t.leaving[id]
	if l == nil {
		return Leaving{}, false
	}
	return *l, true
}

// MarkServing records that an upstream which was asked at a time said that it serves and does
// not leave. It reports whether it counted as leaving. An upstream that has said that it leaves
// since then still does, and so does the incarnation that is known to have said so.
func (t *Tracker) MarkServing(asked time.Time, u Upstream) bool {
	l := t.leaving[u.ID]
	if l == nil || t.registered[u.ID] != u.StartedUnixMs || l.origin.isIncarnation(u.StartedUnixMs) || l.HeardAt.After(asked) {
		return false
	}
	delete(t.leaving, u.ID)
	return true
}

// TakeLeavingChecks returns the registered upstreams that count as leaving although another
// incarnation may have said so, and have not been heard or asked for an interval. They count as
// asked now.
func (t *Tracker) TakeLeavingChecks(now time.Time, interval time.Duration) []Upstream {
	var due []Upstream
	for id, l := range t.leaving {
		started, registered := t.registered[id]
		last := l.HeardAt
		if l.checkedAt.After(last) {
			last = l.checkedAt
		}
		if !registered || l.origin.isIncarnation(started) || now.Sub(last) < interval {
			continue
		}
		l.checkedAt = now
		asked := l.Upstream
		asked.StartedUnixMs = started
		due = append(due, asked)
	}
	return due
}

// expireLeaving ends the notices of upstreams that have started again, and those beyond maxReports.
func (t *Tracker) expireLeaving() {
	for id, l := range t.leaving {
		if t.hasStartedSince(id, l.origin) {
			t.endLeaving(id, StartedAgain)
		}
	}
	for _, id := range excess(t.leaving, t.registered) {
		t.endLeaving(id, Forgotten)
	}
}

func (t *Tracker) endLeaving(id fleet.UpstreamID, cause EndCause) {
	l := t.leaving[id]
	t.recordEnd(SaidLeaving, l.Upstream, l.HeardAt, cause)
	delete(t.leaving, id)
}
