package gateway

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/route"
)

// homeRegions are the home regions of one request.
type homeRegions struct {
	// ownRoute and ownTeam are those of the request's own configuration version. They
	// stay in force after the route or the team was deleted.
	ownRoute fleet.RegionSet
	ownTeam  fleet.RegionSet
	// current are the regions that the last attempt was limited to, and version the
	// configuration version that they were looked up in.
	current fleet.RegionSet
	version int64
}

// newHomeRegions looks up the home regions of a request in its own configuration.
func newHomeRegions(table *route.Table, routeName string, team fleet.TeamID) homeRegions {
	h := homeRegions{}
	h.ownRoute, _ = table.RouteRegions(routeName)
	h.ownTeam, _ = table.TeamRegions(team)
	h.update(table, routeName, team)
	return h
}

// update sets the current home regions to those of the configuration in force.
func (h *homeRegions) update(table *route.Table, routeName string, team fleet.TeamID) {
	ofRoute, ok := table.RouteRegions(routeName)
	if !ok {
		ofRoute = h.ownRoute
	}
	ofTeam, ok := table.TeamRegions(team)
	if !ok {
		ofTeam = h.ownTeam
	}
	h.current = ofRoute.Intersect(ofTeam)
	h.version = table.Version()
}

// logFields returns the log fields of a request with home regions; nil if it has none.
func (h *homeRegions) logFields() []zap.Field {
	if h.current.All() {
		return nil
	}
	return []zap.Field{zap.Stringer("home_regions", h.current), zap.Int64("home_configuration", h.version)}
}

// logUnknownRegions warns of each home region in a configuration that is not in the
// setting regions. No upstream is in such a region, so the name restricts requests all
// the same.
func (g *Gateway) logUnknownRegions(definition *route.Definition) {
	unknown := unknownRegions(definition, g.policy.Load().Admission.Regions)
	for _, region := range slices.Sorted(maps.Keys(unknown)) {
		g.log.Warn("home region unknown", zap.String("region", string(region)), zap.Int64("version", definition.Version),
			zap.String("named_by", unknown[region]))
	}
}

// unknownRegions returns the home regions of a configuration that contain no failure
// domain, each with the first route or team that names it.
func unknownRegions(definition *route.Definition, regions map[fleet.FailureDomainID]fleet.RegionID) map[fleet.RegionID]string {
	known := make(map[fleet.RegionID]bool)
	for _, region := range regions {
		known[region] = true
	}
	unknown := make(map[fleet.RegionID]string)
	add := func(names []fleet.RegionID, namedBy string) {
		for _, name := range names {
			if !known[name] && unknown[name] == "" {
				unknown[name] = namedBy
			}
		}
	}
	for i := range definition.Routes {
		add(definition.Routes[i].Regions, "route "+definition.Routes[i].Name)
	}
	for i := range definition.Teams {
		add(definition.Teams[i].Regions, "team "+string(definition.Teams[i].ID))
	}
	return unknown
}

// HomeRegions lists the routes and teams with home regions in the configuration in force.
type HomeRegions struct {
	Routes map[string][]fleet.RegionID       `json:"routes,omitempty"`
	Teams  map[fleet.TeamID][]fleet.RegionID `json:"teams,omitempty"`
}

// homeRegionsView returns the routes and teams with home regions; nil if there are none.
func homeRegionsView(table *route.Table) *HomeRegions {
	if table == nil {
		return nil
	}
	view := &HomeRegions{Routes: make(map[string][]fleet.RegionID), Teams: make(map[fleet.TeamID][]fleet.RegionID)}
	definition := table.Definition()
	for _, r := range definition.Routes {
		if len(r.Regions) > 0 {
			view.Routes[r.Name] = r.Regions
		}
	}
	for _, t := range definition.Teams {
		if len(t.Regions) > 0 {
			view.Teams[t.ID] = t.Regions
		}
	}
	if len(view.Routes)+len(view.Teams) == 0 {
		return nil
	}
	return view
}
