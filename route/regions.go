package route

import "fulmarspindle.example/fulmarspindle/fleet"

// indexRegions indexes the home regions of routes by name and of teams by ID. Where
// several entries have the same name, the restrictions of all of them apply.
func (t *Table) indexRegions() {
	t.routeRegions = make(map[string]fleet.RegionSet, len(t.definition.Routes))
	for i := range t.definition.Routes {
		route := &t.definition.Routes[i]
		t.routeRegions[route.Name] = t.routeRegions[route.Name].Intersect(fleet.NewRegionSet(route.Regions))
	}
	t.teamRegions = make(map[fleet.TeamID]fleet.RegionSet, len(t.definition.Teams))
	for i := range t.definition.Teams {
		team := &t.definition.Teams[i]
		t.teamRegions[team.ID] = t.teamRegions[team.ID].Intersect(fleet.NewRegionSet(team.Regions))
	}
}

// RouteRegions returns the home regions of the route with a name. It returns false if
// there is no such route.
func (t *Table) RouteRegions(name string) (fleet.RegionSet, bool) {
	regions, ok := t.routeRegions[name]
	return regions, ok
}

// TeamRegions returns the home regions of a team. It returns false if there is no such
// team.
func (t *Table) TeamRegions(id fleet.TeamID) (fleet.RegionSet, bool) {
	regions, ok := t.teamRegions[id]
	return regions, ok
}
