package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// MaxDomains is the number of evacuations that are kept. Sets are part of every
	// report between processes, so another writer's objects must not make them large.
	MaxDomains = 256
	// MaxNameBytes is the length of the longest name that is kept, in bytes. It is the
	// limit of identifiers in the product's own inventory.
	MaxNameBytes = 128
)

// Limit returns the domains to keep, sorted and without repetitions, and the number of
// those left out. It leaves out empty names and those over MaxNameBytes. If more than
// MaxDomains remain, the known failure domains take precedence, so that names of other
// writers cannot displace them.
func Limit(domains []fleet.FailureDomainID, known func(fleet.FailureDomainID) bool) ([]fleet.FailureDomainID, int) {
	distinct := slices.Compact(slices.Sorted(slices.Values(domains)))
	total := len(distinct)
	kept := slices.DeleteFunc(distinct, func(d fleet.FailureDomainID) bool { return !validName(d) })
	if len(kept) > MaxDomains {
		slices.SortStableFunc(kept, func(a, b fleet.FailureDomainID) int { return cmp.Compare(rank(a, known), rank(b, known)) })
		kept = kept[:MaxDomains]
		slices.Sort(kept)
	}
	return kept, total - len(kept)
}

func validName(d fleet.FailureDomainID) bool { return d != "" && len(d) <= MaxNameBytes }

// rank orders known failure domains before other names.
func rank(d fleet.FailureDomainID, known func(fleet.FailureDomainID) bool) int {
	if known(d) {
		return 0
	}
	return 1
}

// Listing is the state of one process's own list and watch of the store. It is separate
// from the Set, which may be ahead of it through other processes.
type Listing struct {
	domains map[fleet.FailureDomainID]bool
	// complete is unset if evacuations were left out because of MaxDomains.
	complete bool
}

// NewListing returns the listing of a complete list of the store. It returns the number of
// names that Limit left out.
func NewListing(list []Change, known func(fleet.FailureDomainID) bool) (*Listing, int) {
	var named []fleet.FailureDomainID
	for _, change := range list {
		if !change.Removed {
			named = append(named, change.Domain)
		}
	}
	kept, dropped := Limit(named, known)
	l := &Listing{domains: make(map[fleet.FailureDomainID]bool, len(kept)), complete: dropped == 0 || len(kept) < MaxDomains}
	for _, domain := range kept {
		l.domains[domain] = true
	}
	return l, dropped
}

// Apply applies the changes of a watch in order. It returns false if the store has to be
// listed again because the listing does not hold all evacuations. Names that Limit leaves
// out are ignored.
func (l *Listing) Apply(changes []Change) bool {
	for _, change := range changes {
		switch {
		case !validName(change.Domain):
		case !l.complete:
			return false
		case change.Removed:
			delete(l.domains, change.Domain)
		case len(l.domains) >= MaxDomains && !l.domains[change.Domain]:
			return false
		default:
			l.domains[change.Domain] = true
		}
	}
	return true
}

// Domains returns the evacuated failure domains, sorted by name.
func (l *Listing) Domains() []fleet.FailureDomainID { return slices.Sorted(maps.Keys(l.domains)) }
