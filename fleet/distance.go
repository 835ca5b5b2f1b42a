package fleet

// Distance is how far apart two locations are.
type Distance int

// Distances, the nearest first.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
	// Distances is the number of distances.
	Distances
)

// DistanceOf returns how far apart two locations are.
func DistanceOf(a, b Location) Distance {
	switch {
	case a == b:
		return SameFailureDomain
	case a.Region == b.Region:
		return SameRegion
	}
	return OtherRegion
}
