// Package quarantine tracks requests that are suspected of crashing upstreams. A
// request that was running on an upstream that crashed is a suspect; after several
// crashes it is refused. The state of several processes can be merged in any order.
// The package does no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// MaxSuspects bounds the list. Beyond it, the suspects that expire first are
	// evicted.
	MaxSuspects = 4096
	// maxCrashIDs bounds the crashes remembered per suspect.
	maxCrashIDs = 8
)

// Options configure a List.
type Options struct {
	// RefusedCrashes is the number of crashes at which a request is refused.
	RefusedCrashes int
	// TTL is how long a suspect is remembered after its last crash.
	TTL time.Duration
}

// Suspect is a request that was running when upstreams crashed.
type Suspect struct {
	Digest  string
	Team    fleet.TeamID
	Service fleet.ServiceID
	// CrashIDs identify distinct crashes. They are sorted.
	CrashIDs []string
	Expires  time.Time
}

// List is the set of suspects known to one process.
type List struct {
	options  Options
	suspects map[string]Suspect
}

// NewList returns an empty list.
func NewList(options Options) *List {
	return &List{options: options, suspects: make(map[string]Suspect)}
}

// Refused reports whether the request of a suspect must not run again.
func (l *List) Refused(s Suspect) bool { return len(s.CrashIDs) >= l.options.RefusedCrashes }

// Len returns the number of suspects, including expired ones.
func (l *List) Len() int { return len(l.suspects) }

// Remove removes a suspect, as when its request has completed.
func (l *List) Remove(digest string) { delete(l.suspects, digest) }

// Lookup returns the unexpired suspect with a digest.
func (l *List) Lookup(digest string, now time.Time) (Suspect, bool) {
	s, ok := l.suspects[digest]
	return s, ok && s.Expires.After(now)
}

// Merge adds a suspect found by this process or another one. It reports whether
// the list changed. The expiry is limited to TTL from now, whatever the clock of the
// other process.
func (l *List) Merge(s Suspect, now time.Time) bool {
	if !s.Expires.After(now) {
		return false
	}
	s.Expires = earliest(s.Expires, now.Add(l.options.TTL))
	existing, ok := l.suspects[s.Digest]
	merged := merge(s, existing)
	if ok && slices.Equal(merged.CrashIDs, existing.CrashIDs) && merged.Expires.Equal(existing.Expires) {
		return false
	}
	l.suspects[s.Digest] = merged
	l.evict(now)
	return true
}

// merge returns a with the distinct crashes of both and the later expiry.
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

// All returns the unexpired suspects, sorted by digest.
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

// evict removes expired suspects if the list exceeds MaxSuspects, and then those that
// expire first until it doesn't.
func (l *List) evict(now time.Time) {
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
