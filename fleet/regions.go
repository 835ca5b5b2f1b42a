package fleet

import (
	"slices"
	"strings"
)

// RegionSet is a set of regions, or all regions. The zero value contains every region,
// also one that is not known. A RegionSet is immutable and safe for concurrent use.
type RegionSet struct {
	// ids lists the regions in ascending order. A nil slice stands for all regions, an
	// empty one for none.
	ids []RegionID
}

// NewRegionSet returns the set of the given regions. Without any it returns the set of
// all regions, because an empty list in a configuration restricts nothing.
func NewRegionSet(regions []RegionID) RegionSet {
	if len(regions) == 0 {
		return RegionSet{}
	}
	ids := slices.Clone(regions)
	slices.Sort(ids)
	return RegionSet{ids: slices.Compact(ids)}
}

// All reports whether the set contains every region.
func (s RegionSet) All() bool { return s.ids == nil }

// Contains reports whether a region is in the set. The empty identifier stands for an
// unknown region, which only the set of all regions contains.
func (s RegionSet) Contains(region RegionID) bool {
	if s.All() {
		return true
	}
	return region != "" && slices.Contains(s.ids, region)
}

// Intersect returns the regions that are in both sets. It allocates only if neither set
// contains all regions.
func (s RegionSet) Intersect(other RegionSet) RegionSet {
	if s.All() {
		return other
	}
	if other.All() {
		return s
	}
	both := make([]RegionID, 0, min(len(s.ids), len(other.ids)))
	for _, id := range s.ids {
		if slices.Contains(other.ids, id) {
			both = append(both, id)
		}
	}
	return RegionSet{ids: both}
}

// Regions returns the regions of the set in ascending order, and nil if it contains all
// regions. The caller must not modify the slice.
func (s RegionSet) Regions() []RegionID { return s.ids }

// String returns the regions separated by commas, "all" or "none".
func (s RegionSet) String() string {
	switch {
	case s.All():
		return "all"
	case len(s.ids) == 0:
		return "none"
	}
	names := make([]string, len(s.ids))
	for i, id := range s.ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}
