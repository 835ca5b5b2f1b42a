package gateway

import (
	"cmp"
	"expvar"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/retry"
)

// StatePath and MetricsPath are served on the metrics address.
const (
	StatePath   = "/state"
	MetricsPath = "/debug/vars"
)

// State is a gateway's view of the system, as served at StatePath.
type State struct {
	ID       fleet.NodeID `json:"id"`
	Ready    bool         `json:"ready"`
	Draining bool         `json:"draining"`
	// Configuration is the version in force, zero before the first one.
	// ConfigurationAgeMs is the time since it was adopted.
	Configuration      int64 `json:"configuration"`
	ConfigurationAgeMs int64 `json:"configuration_age_ms"`
	// RegistryRevision is the store revision up to which registrations are known.
	// RegistryAgeMs is the time since the store or a router confirmed it.
	RegistryRevision uint64 `json:"registry_revision"`
	RegistryAgeMs    int64  `json:"registry_age_ms"`
	// BufferedBytes is the total size of buffered request bodies and responses,
	// including what is held for slow callers.
	BufferedBytes int64                              `json:"buffered_bytes"`
	SlowCallers   SlowCallers                        `json:"slow_callers"`
	Routers       []fleet.NodeID                     `json:"routers"`
	Upstreams     []UpstreamEntry                    `json:"upstreams"`
	Services      map[fleet.ServiceID]admission.View `json:"services"`
	// Retries is the usage of each service's retry budget.
	Retries  map[fleet.ServiceID]retry.Usage `json:"retries"`
	Suspects []Suspect                       `json:"suspects"`
	// BlamedParts are the prompt parts whose requests are refused because they crash
	// upstreams.
	BlamedParts []BlamedPart `json:"blamed_parts"`
	// HomeRegions is nil if no route and no team has home regions.
	HomeRegions *HomeRegions `json:"home_regions,omitempty"`
	// Evacuations is nil if evacuations of failure domains are not in use.
	Evacuations *EvacuationState `json:"evacuations,omitempty"`
}

// Suspect is a request that was running at upstreams when they crashed.
type Suspect struct {
	Digest  string          `json:"digest"`
	Service fleet.ServiceID `json:"service"`
	// Crashes are the crashed upstreams, each with its start time.
	Crashes   []string `json:"crashes"`
	Refused   bool     `json:"refused"`
	ExpiresMs int64    `json:"expires_ms"`
}

// BlamedPart is a prompt part that is blamed for crashes of upstreams.
type BlamedPart struct {
	// Part is the name of the part as callers send it.
	Part    string          `json:"part"`
	ID      uint64          `json:"id"`
	Service fleet.ServiceID `json:"service"`
	// Crashes are the crashed upstreams, each with its start time.
	Crashes []string `json:"crashes"`
	// TrialMs is the time until one request with the part may be sent as a trial.
	TrialMs int64 `json:"trial_ms"`
}

// UpstreamEntry is a registration known to a gateway.
type UpstreamEntry struct {
	ID       fleet.UpstreamID `json:"id"`
	Service  fleet.ServiceID  `json:"service"`
	Address  string           `json:"address"`
	Draining bool             `json:"draining"`
	Removed  bool             `json:"removed"`
	Revision uint64           `json:"revision"`
}

// State returns the gateway's view of the system.
func (g *Gateway) State() State {
	now := time.Now()
	state := State{
		ID: g.options.ID, Ready: g.Ready(), Draining: g.draining.Load(),
		Configuration: int64(g.generation()), Services: make(map[fleet.ServiceID]admission.View),
		Retries:  make(map[fleet.ServiceID]retry.Usage),
		Suspects: g.suspects.view(now), BlamedParts: g.suspects.parts.view(now), BufferedBytes: g.bufferedBytes.Load(),
		HomeRegions: homeRegionsView(g.table.Load()),
		SlowCallers: g.slowCallers.view(),
	}
	for _, s := range g.peers.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		state.Routers = append(state.Routers, s.ID())
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	state.ConfigurationAgeMs = age(now, g.adoptedAt)
	state.RegistryRevision = g.registry.Revision()
	state.RegistryAgeMs = age(now, g.registeredAt)
	state.Evacuations = g.evacuationState(now)
	for _, entry := range g.registry.Entries() {
		state.Upstreams = append(state.Upstreams, UpstreamEntry{
			ID: entry.Upstream.ID, Service: entry.Upstream.Service, Address: entry.Upstream.Address,
			Draining: entry.Upstream.Draining, Removed: entry.Removed, Revision: entry.Revision,
		})
	}
	for id, s := range g.services {
		state.Services[id] = s.view(now)
		state.Retries[id], _ = s.retryUsage(now, g.peers.budgetRouters())
	}
	slices.SortFunc(state.Upstreams, func(a, b UpstreamEntry) int { return cmp.Compare(a.ID, b.ID) })
	return state
}

// age returns the milliseconds since at, -1 if at is zero.
func age(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at).Milliseconds()
}

// metrics returns the handler that serves the counters and the state.
func (g *Gateway) metrics() http.Handler {
	server := echo.New()
	server.GET(MetricsPath, echo.WrapHandler(expvar.Handler()))
	server.GET(StatePath, func(c echo.Context) error { return c.JSON(http.StatusOK, g.State()) })
	return server
}
