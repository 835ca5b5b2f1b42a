package fleet

// Distance is the network distance between two locations.
type Distance int

// Distances from nearest to farthest.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
	// NumDistances is the number of Distance values.
	NumDistances
)

// DistanceBetween returns the distance between two locations.
func DistanceBetween(a, b Location) Distance {
	switch {
	case a == b:
		return SameFailureDomain
	case a.Region == b.Region:
		return SameRegion
	}
	return OtherRegion
}
