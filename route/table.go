package route

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// ErrInvalid is returned for an invalid definition.
var ErrInvalid = eris.New("route: invalid definition")

// Table looks up the routes, services and teams of one Definition. It is safe for
// concurrent use.
type Table struct {
	definition Definition
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[fleet.ServiceID]*Service
	teams    map[string]fleet.TeamID
	// routeRegions holds the home regions of routes by name, and teamRegions those of
	// teams.
	routeRegions map[string]fleet.RegionSet
	teamRegions  map[fleet.TeamID]fleet.RegionSet
}

// NewTable returns the table of a definition, or ErrInvalid if a route is invalid.
func NewTable(d Definition) (*Table, error) {
	t := &Table{
		definition: d,
		byHost:     make(map[string][]*Route),
		services:   make(map[fleet.ServiceID]*Service, len(d.Services)),
		teams:      make(map[string]fleet.TeamID),
	}
	for i := range d.Services {
		t.services[d.Services[i].ID] = &d.Services[i]
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		if err := validateRoute(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, team := range d.Teams {
		for _, key := range team.Keys {
			t.teams[key] = team.ID
		}
	}
	t.indexRegions()
	return t, nil
}

func validateRoute(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Wrapf(ErrInvalid, "route %s: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	for _, weighted := range r.Split {
		if weighted.Weight < 0 {
			return eris.Wrapf(ErrInvalid, "route %s: negative weight", r.Name)
		}
	}
	return nil
}

// Version returns the definition's version.
func (t *Table) Version() int64 { return t.definition.Version }

// Definition returns the definition of the table. The caller must not modify it.
func (t *Table) Definition() Definition { return t.definition }

// Limits returns the limits on the requests of callers.
func (t *Table) Limits() Limits { return t.definition.Limits }

// Lookup returns the route of the host with the longest prefix that matches the path.
func (t *Table) Lookup(host, path string) (*Route, bool) {
	for _, route := range t.byHost[strings.ToLower(stripPort(host))] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// stripPort removes the port from a host, if there is one.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}

// Team returns the team that holds a key.
func (t *Table) Team(key string) (fleet.TeamID, bool) {
	team, ok := t.teams[key]
	return team, ok
}

// HasTeams reports whether any team is defined, so that callers need a key.
func (t *Table) HasTeams() bool { return len(t.definition.Teams) > 0 }

// Service returns the service with an ID, or nil.
func (t *Table) Service(id fleet.ServiceID) *Service { return t.services[id] }

// SelectService returns the service of a request, chosen by the weights of the route.
// The choice depends on a hash of the request ID, so that a repeated request gets the
// same service. It returns false if the weights add up to zero.
func (r *Route) SelectService(requestID string) (fleet.ServiceID, bool) {
	total := 0.0
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	if total <= 0 {
		return "", false
	}
	// 53 bits give a uniform fraction that a float64 represents exactly.
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, weighted := range r.Split {
		if point < weighted.Weight {
			return weighted.Service, true
		}
		point -= weighted.Weight
	}
	return r.Split[len(r.Split)-1].Service, true
}
