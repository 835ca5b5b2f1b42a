// Package quarantine decides which requests are suspected of crashing
// upstreams. A request that was running at one crash is a suspect; one that was
// running at several is refused. The state is mergeable in any order and does no
// I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Limits of the list.
const (
	// MaxSuspects bounds the list; the ones that expire first are dropped.
	MaxSuspects = 4096
	// maxCrashIDs bounds the crashes remembered of one suspect.
	maxCrashIDs = 8
)

// Options set up a List.
type Options struct {
	// RefusedCrashes is the count of crashes from which a request is refused.
	RefusedCrashes int
	// TTL is how long a suspect is remembered after its last crash.
	TTL time.Duration
}

// Suspect is a request that was running when upstreams crashed.
type Suspect struct {
	Digest  string
	Team    fleet.TeamID
	Service fleet.ServiceID
	// CrashIDs identify distinct crashes, in order.
	CrashIDs []string
	Expires  time.Time
}

// List is the set of suspects that one process knows.
type List struct {
	options  Options
	suspects map[string]Suspect
}

// NewList returns an empty list.
func NewList(options Options) *List {
	return &List{options: options, suspects: make(map[string]Suspect)}
}

// Refused reports whether a suspect must not run again.
func (l *List) Refused(s Suspect) bool { return len(s.CrashIDs) >= l.options.RefusedCrashes }

// Len returns the number of suspects, expired ones included.
func (l *List) Len() int { return len(l.suspects) }

// Clear forgets a suspect that was answered.
func (l *List) Clear(digest string) { delete(l.suspects, digest) }

// Lookup returns what is known of a digest.
func (l *List) Lookup(digest string, now time.Time) (Suspect, bool) {
	s, ok := l.suspects[digest]
	return s, ok && s.Expires.After(now)
}

// Merge adds what another process, or this one, learned. It reports whether
// the list changed.
func (l *List) Merge(s Suspect, now time.Time) bool {
	if !s.Expires.After(now) {
		return false
	}
	s.Expires = earliest(s.Expires, now.Add(l.options.TTL))
	known, ok := l.suspects[s.Digest]
	merged := merge(s, known)
	if ok && slices.Equal(merged.CrashIDs, known.CrashIDs) && merged.Expires.Equal(known.Expires) {
		return false
	}
	l.suspects[s.Digest] = merged
	l.shrink(now)
	return true
}

// merge returns a with the crashes of both, each once, and the later expiry.
func merge(a, b Suspect) Suspect {
	ids := slices.Concat(a.CrashIDs, b.CrashIDs)
	slices.Sort(ids)
	ids = slices.Compact(ids)
	a.CrashIDs = ids[:min(len(ids), maxCrashIDs)]
	if b.Expires.After(a.Expires) {
		a.Expires = b.Expires
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// All returns the suspects that have not expired, by digest.
func (l *List) All(now time.Time) []Suspect {
	var out []Suspect
	for _, s := range l.suspects {
		if s.Expires.After(now) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Digest, b.Digest) })
	return out
}

// shrink drops expired suspects, and the first to expire above the bound.
func (l *List) shrink(now time.Time) {
	if len(l.suspects) <= MaxSuspects {
		return
	}
	all := l.All(now)
	slices.SortStableFunc(all, func(a, b Suspect) int { return b.Expires.Compare(a.Expires) })
	l.suspects = make(map[string]Suspect, MaxSuspects)
	for _, s := range all[:min(len(all), MaxSuspects)] {
		l.suspects[s.Digest] = s
	}
}
