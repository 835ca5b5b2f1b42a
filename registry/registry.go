// Package registry decides which upstreams may get new work, from what the
// platform's store and other routers say of them. It is a state machine without
// I/O and clock. Invariant: of two statements about an upstream the one with the
// higher revision holds.
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
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining upstreams take no new work.
	Draining bool
	// StartedUnixMs tells its starts apart.
	StartedUnixMs int64
	// Version is the version of its software.
	Version string
}

// Statement is what the store said of one upstream at a revision.
type Statement struct {
	Upstream Upstream
	Revision uint64
	// Removed is set if the store has no such upstream any more.
	Removed bool
}

// Options set up a Registry.
type Options struct {
	// LapseGrace is how long an upstream whose registration lapsed while the
	// store was away stays in use after the store's return.
	LapseGrace time.Duration
	// TombstoneTTL is how long a removal is remembered.
	TombstoneTTL time.Duration
}

type record struct {
	Statement
	// goneAt is when a lapsed upstream stops being used; zero if it has not
	// lapsed.
	goneAt time.Time
	// since is when the statement was taken in.
	since time.Time
}

// Registry holds the last statement about each upstream.
type Registry struct {
	options Options
	records map[fleet.UpstreamID]*record
	// revision is the store's revision up to which all is known.
	revision uint64
}

// New returns an empty registry.
func New(options Options) *Registry {
	return &Registry{options: options, records: make(map[fleet.UpstreamID]*record)}
}

// Revision returns the store's revision up to which all is known.
func (r *Registry) Revision() uint64 { return r.revision }

// Replace takes a whole list as of revision. Upstreams that it lacks are gone:
// at once, or after the grace if the store was away before.
func (r *Registry) Replace(now time.Time, list []Statement, revision uint64, afterOutage bool) {
	if revision < r.revision {
		return
	}
	r.revision = revision
	listed := make(map[fleet.UpstreamID]bool, len(list))
	for _, s := range list {
		listed[s.Upstream.ID] = true
		r.Apply(now, s)
	}
	for id, rec := range r.records {
		if listed[id] || rec.Removed || rec.Revision > revision {
			continue
		}
		rec.Removed = true
		rec.Revision = revision
		rec.since = now
		if afterOutage && !rec.Upstream.Draining {
			rec.goneAt = now.Add(r.options.LapseGrace)
		}
	}
	r.forget(now)
}

// Apply takes one statement, of the store or of another router. It reports
// whether it was new.
func (r *Registry) Apply(now time.Time, s Statement) bool {
	rec := r.records[s.Upstream.ID]
	if rec == nil {
		r.records[s.Upstream.ID] = &record{Statement: s, since: now}
		return true
	}
	if s.Revision <= rec.Revision {
		return false
	}
	if s.Removed && s.Upstream.Service == "" {
		s.Upstream = rec.Upstream
	}
	*rec = record{Statement: s, since: now}
	return true
}

// Advance notes that all changes up to revision were applied.
func (r *Registry) Advance(revision uint64) { r.revision = max(r.revision, revision) }

// forget drops removals that everyone has learnt of.
func (r *Registry) forget(now time.Time) {
	for id, rec := range r.records {
		if rec.Removed && now.Sub(rec.since) > r.options.TombstoneTTL {
			delete(r.records, id)
		}
	}
}

// Usable returns the upstreams that may get new work, by identifier.
func (r *Registry) Usable(now time.Time) []Upstream {
	var out []Upstream
	for _, rec := range r.records {
		lapsed := rec.Removed && now.Before(rec.goneAt)
		if rec.Upstream.Draining || rec.Removed && !lapsed {
			continue
		}
		out = append(out, rec.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// NextWake returns when a lapsed upstream stops being usable.
func (r *Registry) NextWake(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, rec := range r.records {
		if rec.Removed && rec.goneAt.After(now) && (next.IsZero() || rec.goneAt.Before(next)) {
			next = rec.goneAt
		}
	}
	return next, !next.IsZero()
}

// Statements returns all that is known, removals included, by identifier.
func (r *Registry) Statements() []Statement {
	out := make([]Statement, 0, len(r.records))
	for _, rec := range r.records {
		out = append(out, rec.Statement)
	}
	slices.SortFunc(out, func(a, b Statement) int { return cmp.Compare(a.Upstream.ID, b.Upstream.ID) })
	return out
}

// Newest returns the revision of the newest statement.
func (r *Registry) Newest() uint64 {
	var newest uint64
	for _, rec := range r.records {
		newest = max(newest, rec.Revision)
	}
	return newest
}
