package warmup

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// origin tells which incarnations of an upstream may have sent a response: the one that the request
// was sent to, and each other that had started when it was sent, because registrations may be
// behind, or replaced by another writer.
type origin struct {
	startedUnixMs int64
	sentAt        time.Time
}

// endedBy reports whether an incarnation started after all that may have sent the response. An
// unknown start (zero) and an earlier one do not tell.
func (o origin) endedBy(startedUnixMs int64) bool {
	return startedUnixMs > o.startedUnixMs && startedUnixMs > o.sentAt.UnixMilli()
}

// extend adds the incarnations that may have sent a further response.
func (o *origin) extend(other origin) {
	o.startedUnixMs = max(o.startedUnixMs, other.startedUnixMs)
	if other.sentAt.After(o.sentAt) {
		o.sentAt = other.sentAt
	}
}

// isIncarnation reports whether the response is known to be of an incarnation.
func (o origin) isIncarnation(startedUnixMs int64) bool {
	return startedUnixMs != 0 && startedUnixMs == o.startedUnixMs
}

// hasStartedSince reports whether the registered incarnation of an upstream started after those of
// an origin.
func (t *Tracker) hasStartedSince(id fleet.UpstreamID, o origin) bool {
	started, registered := t.registered[id]
	return registered && o.endedBy(started)
}

// excess returns the upstreams to forget, as more than maxReports reports are of upstreams that are
// not registered: of these the ones whose reports end first. What registered upstreams said is kept
// in any case.
func excess[R interface{ endsAt() time.Time }](reports map[fleet.UpstreamID]R, registered map[fleet.UpstreamID]int64) []fleet.UpstreamID {
	if len(reports) <= maxReports {
		return nil
	}
	var gone []fleet.UpstreamID
	for id := range reports {
		if _, ok := registered[id]; !ok {
			gone = append(gone, id)
		}
	}
	slices.SortFunc(gone, func(a, b fleet.UpstreamID) int { return reports[a].endsAt().Compare(reports[b].endsAt()) })
	return gone[:max(len(gone)-maxReports, 0)]
}
