// Package registry decides which upstreams may get new work, from the registrations
// in the platform's store and those received from other routers. It is a state
// machine without I/O or a clock. Invariant: of two entries for an upstream, the one
// with the higher revision wins.
package registry

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Upstream is a registered upstream.
type Upstream struct {
	ID      fleet.UpstreamID
	Service fleet.ServiceID
	Address string
	Domain  fleet.FailureDomainID
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// StartedUnixMs is the start time, which distinguishes restarts of the upstream.
	StartedUnixMs int64
	// Version is the version of the upstream's software.
	Version string
	// ColdRemaining is how much longer the upstream is cold as of its registration, and
	// ColdSince when that registration was received. Apply sets ColdSince.
	ColdRemaining time.Duration
	ColdSince     time.Time
	// RestartedAt is when a start time other than the one known before was received;
	// zero if there was none. Apply sets it.
	RestartedAt time.Time
}

// coldUntil returns the end of the cold period that the registration states.
func (u Upstream) coldUntil() time.Time { return u.ColdSince.Add(u.ColdRemaining) }

// ColdLeft returns how much longer the upstream is cold according to its registration.
func (u Upstream) ColdLeft(now time.Time) time.Duration {
	return max(u.coldUntil().Sub(now), 0)
}

// Router is the registration of a router.
type Router struct {
	// PeerAddress is the address at which the router accepts sessions of other routers.
	PeerAddress string
	// Domain is the router's failure domain; empty if unknown.
	Domain fleet.FailureDomainID
}

// Entry is the registration of an upstream at a revision of the store.
type Entry struct {
	Upstream Upstream
	Revision uint64
	// Removed marks a tombstone: the store no longer has the upstream.
	Removed bool
}

// Options configure a Registry.
type Options struct {
	// LapseGrace is how long an upstream whose registration lapsed during an outage
	// of the store remains usable after the store was last seen unavailable.
	LapseGrace time.Duration
	// TombstoneTTL is how long the entry of a removed upstream is kept.
	TombstoneTTL time.Duration
}

type record struct {
	Entry
	// usableUntil is when a lapsed upstream stops being usable; zero if it has not
	// lapsed.
	usableUntil time.Time
	// updatedAt is when the entry was last changed.
	updatedAt time.Time
}

// Registry holds the latest entry of each upstream.
type Registry struct {
	options Options
	records map[fleet.UpstreamID]*record
	// revision is the store revision up to which all changes were applied.
	revision uint64
}

// New returns an empty registry.
func New(options Options) *Registry {
	return &Registry{options: options, records: make(map[fleet.UpstreamID]*record)}
}

// Revision returns the store revision up to which all changes were applied.
func (r *Registry) Revision() uint64 { return r.revision }

// Replace applies the complete list of the store at revision, unless it is older than
// the changes already applied. Upstreams missing from the list are removed: at once, or
// LapseGrace after outageEnd if the list follows an outage of the store, which is not zero
// then, and they are not draining. The grace counts from the outage and not from the list,
// because an upstream that was removed for good must not stay usable longer for a late list.
func (r *Registry) Replace(now time.Time, list []Entry, revision uint64, outageEnd time.Time) {
	if revision < r.revision {
		return
	}
	r.revision = revision
	listed := make(map[fleet.UpstreamID]bool, len(list))
	for _, e := range list {
		listed[e.Upstream.ID] = true
		r.Apply(now, e)
	}
	for id, rec := range r.records {
		if listed[id] || rec.Removed || rec.Revision > revision {
			continue
		}
		rec.Removed = true
		rec.Revision = revision
		rec.updatedAt = now
		if !outageEnd.IsZero() && !rec.Upstream.Draining {
			rec.usableUntil = outageEnd.Add(r.options.LapseGrace)
		}
	}
	r.expireTombstones(now)
}

// Apply applies an entry of the store or of another router. It reports whether the
// entry was new. A tombstone without a service keeps the known fields of the upstream.
func (r *Registry) Apply(now time.Time, e Entry) bool {
	rec := r.records[e.Upstream.ID]
	if rec == nil {
		setColdTimes(now, &e.Upstream, Upstream{StartedUnixMs: e.Upstream.StartedUnixMs})
		r.records[e.Upstream.ID] = &record{Entry: e, updatedAt: now}
		return true
	}
	if e.Revision <= rec.Revision {
		return false
	}
	if e.Removed && e.Upstream.Service == "" {
		e.Upstream = rec.Upstream
	} else {
		setColdTimes(now, &e.Upstream, rec.Upstream)
	}
	*rec = record{Entry: e, updatedAt: now}
	return true
}

// setColdTimes sets when an upstream is cold, given the state known before. If both are of
// the same incarnation and the earlier registration states a later end, that one counts.
func setColdTimes(now time.Time, u *Upstream, known Upstream) {
	if u.ColdRemaining > 0 {
		u.ColdSince = now
	}
	if u.StartedUnixMs != known.StartedUnixMs {
		u.RestartedAt = now
		return
	}
	u.RestartedAt = known.RestartedAt
	if known.coldUntil().After(u.coldUntil()) {
		u.ColdRemaining, u.ColdSince = known.ColdRemaining, known.ColdSince
	}
}

// AdvanceRevision records that all changes up to revision were applied.
func (r *Registry) AdvanceRevision(revision uint64) { r.revision = max(r.revision, revision) }

// expireTombstones deletes tombstones older than TombstoneTTL, by when all routers are
// expected to have received them.
func (r *Registry) expireTombstones(now time.Time) {
	for id, rec := range r.records {
		if rec.Removed && now.Sub(rec.updatedAt) > r.options.TombstoneTTL {
			delete(r.records, id)
		}
	}
}

// Usable returns the upstreams that may get new work, sorted by ID.
func (r *Registry) Usable(now time.Time) []Upstream {
	var out []Upstream
	for _, rec := range r.records {
		inGrace := rec.Removed && now.Before(rec.usableUntil)
		if rec.Upstream.Draining || rec.Removed && !inGrace {
			continue
		}
		out = append(out, rec.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// NextWake returns the next time at which a lapsed upstream stops being usable, and false
// if there is none.
func (r *Registry) NextWake(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, rec := range r.records {
		if rec.Removed && rec.usableUntil.After(now) && (next.IsZero() || rec.usableUntil.Before(next)) {
			next = rec.usableUntil
		}
	}
	return next, !next.IsZero()
}

// Entries returns all entries including tombstones, sorted by upstream ID.
func (r *Registry) Entries() []Entry {
	out := make([]Entry, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.Entry)
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}

// LatestRevision returns the highest revision of any entry.
func (r *Registry) LatestRevision() uint64 {
	var latest uint64
	for _, rec := range r.records {
		latest = max(latest, rec.Revision)
	}
	return latest
}
