package fleet_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Guards against a restriction that is lost when two sets are combined: an empty
// intersection must not turn into the set of all regions.
func TestIntersectionContainsWhatBothSetsContain(t *testing.T) {
	names := []fleet.RegionID{"r1", "r2", "r3", ""}
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.SampledFrom(names), 0, 3)
		a, b := list.Draw(t, "a"), list.Draw(t, "b")
		first, second := fleet.NewRegionSet(a), fleet.NewRegionSet(b)
		both := first.Intersect(second)
		for _, region := range append(names, "r4") {
			if both.Contains(region) != (first.Contains(region) && second.Contains(region)) {
				t.Fatalf("%v and %v give %v, which is wrong about %q", first, second, both, region)
			}
		}
		if first.All() != (len(a) == 0) || both.All() != (len(a)+len(b) == 0) {
			t.Fatalf("all regions: %v and %v give %v", first, second, both)
		}
		if len(a) > 0 && first.Contains("r1") != slices.Contains(a, "r1") {
			t.Fatalf("%v does not match %v", first, a)
		}
	})
}

func TestUnknownRegionIsOnlyInTheSetOfAllRegions(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fleet.RegionSet{}.Contains("")).To(BeTrue())
	g.Expect(fleet.NewRegionSet([]fleet.RegionID{"r1", ""}).Contains("")).To(BeFalse())
}

func TestRegionSetString(t *testing.T) {
	g := NewWithT(t)
	r1 := fleet.NewRegionSet([]fleet.RegionID{"r1"})
	g.Expect(fleet.RegionSet{}.String()).To(Equal("all"))
	g.Expect(fleet.NewRegionSet([]fleet.RegionID{"r2", "r1", "r2"}).String()).To(Equal("r1,r2"))
	g.Expect(r1.Intersect(fleet.NewRegionSet([]fleet.RegionID{"r2"})).String()).To(Equal("none"))
}
