package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/route"
)

func regionsTable(g *WithT) *route.Table {
	table, err := route.NewTable(route.Definition{
		Routes: []route.Route{
			{Name: "open", Host: "h", Prefix: "/open/"},
			{Name: "home", Host: "h", Prefix: "/home/", Regions: []fleet.RegionID{"r1", "r2"}},
			{Name: "twice", Host: "h", Prefix: "/a/", Regions: []fleet.RegionID{"r1"}},
			{Name: "twice", Host: "h", Prefix: "/b/"},
		},
		Teams: []route.Team{{ID: "open"}, {ID: "home", Regions: []fleet.RegionID{"r2"}}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return table
}

func TestHomeRegionsAreFoundByRouteNameAndTeam(t *testing.T) {
	g := NewWithT(t)
	table := regionsTable(g)
	for name, expected := range map[string]string{"open": "all", "home": "r1,r2", "twice": "r1"} {
		regions, ok := table.RouteRegions(name)
		g.Expect(ok).To(BeTrue())
		g.Expect(regions.String()).To(Equal(expected), name)
	}
	_, ok := table.RouteRegions("deleted")
	g.Expect(ok).To(BeFalse())
	regions, ok := table.TeamRegions("home")
	g.Expect(ok).To(BeTrue())
	g.Expect(regions.String()).To(Equal("r2"))
	_, ok = table.TeamRegions("deleted")
	g.Expect(ok).To(BeFalse())
}

// Guards against garbage from lookups on the path of every request.
func TestLookupOfHomeRegionsDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	table := regionsTable(g)
	allocated := testing.AllocsPerRun(100, func() {
		ofRoute, _ := table.RouteRegions("open")
		ofTeam, _ := table.TeamRegions("home")
		_ = ofRoute.Intersect(ofTeam)
	})
	g.Expect(allocated).To(BeZero())
}
