// Package evacuation holds the evacuated failure domains, to which no new work may be
// sent. The platform's store holds the authoritative set; processes compare their copies
// by the store's revision. It addresses the load scenario of a failure domain that is
// evacuated during a burst, at every process and also during an outage of the store.
//
// The package performs no I/O, starts no goroutines and uses neither the system clock nor
// a random source. Its types are not safe for concurrent use.
package evacuation

import (
	"maps"
	"slices"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Change is the creation or removal of an evacuation in the store.
type Change struct {
	Domain fleet.FailureDomainID
	// Removed is set if the evacuation ended.
	Removed bool
}

// Transition lists the domains by which two successive sets differ, sorted by name.
type Transition struct {
	Begun []fleet.FailureDomainID
	Ended []fleet.FailureDomainID
}

// Empty reports whether the sets have the same domains.
func (t Transition) Empty() bool { return len(t.Begun) == 0 && len(t.Ended) == 0 }

// Set is the set of evacuated failure domains at a revision of the store. The zero value
// is an unknown set. Invariant: of two sets, the one with the higher revision wins.
type Set struct {
	known    bool
	revision uint64
	domains  map[fleet.FailureDomainID]bool
}

// Replace applies the complete set of a revision and returns the difference to the
// previous one. A set that is not newer than the known one is ignored.
func (s *Set) Replace(revision uint64, domains []fleet.FailureDomainID) Transition {
	if s.known && revision <= s.revision {
		return Transition{}
	}
	return s.Correct(revision, domains)
}

// Correct applies the complete set of a revision also if the known one has a higher revision,
// which was found not to be the store's.
func (s *Set) Correct(revision uint64, domains []fleet.FailureDomainID) Transition {
	next := make(map[fleet.FailureDomainID]bool, len(domains))
	for _, domain := range domains {
		next[domain] = true
	}
	transition := Transition{Begun: missing(next, s.domains), Ended: missing(s.domains, next)}
	s.known, s.revision, s.domains = true, revision, next
	return transition
}

// missing returns the sorted domains of one set that another one lacks.
func missing(from, other map[fleet.FailureDomainID]bool) []fleet.FailureDomainID {
	var out []fleet.FailureDomainID
	for domain := range from {
		if !other[domain] {
			out = append(out, domain)
		}
	}
	slices.Sort(out)
	return out
}

// Known reports whether any set was applied.
func (s *Set) Known() bool { return s.known }

// Revision returns the store revision of the set; zero while it is unknown.
func (s *Set) Revision() uint64 { return s.revision }

// Evacuated reports whether a failure domain is evacuated.
func (s *Set) Evacuated(domain fleet.FailureDomainID) bool { return s.domains[domain] }

// Domains returns the evacuated failure domains, sorted by name.
func (s *Set) Domains() []fleet.FailureDomainID { return slices.Sorted(maps.Keys(s.domains)) }
