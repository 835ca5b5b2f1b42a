//go:build review

package lab

import "time"

// Route is a route of the operator's configuration.
type Route struct {
	Name           string `json:"name"`
	Host           string `json:"host"`
	PathPrefix     string `json:"pathPrefix"`
	Kind           string `json:"kind"`
	TimeoutMs      int    `json:"timeoutMs"`
	TargetMs       int    `json:"targetLatencyMs"`
	GapMs          int    `json:"targetGapMs,omitempty"`
	Priority       int    `json:"priority"`
	Service        string `json:"service"`
	MaxAttempts    int    `json:"maxAttempts"`
	Anonymous      bool   `json:"allowAnonymous"`
	StickySessions bool   `json:"stickySessions"`
	ResumeStreams  bool   `json:"resumeStreams"`
}

// Names in the configuration.
const (
	Host      = "ficu95.example"
	Tenant    = "hule930"
	Key       = "asnmgkcuyj8pjbvk9m68"
	ModelName = "m"
)

// IdleTimeout is the limit idleTimeoutMs of the configuration.
const IdleTimeout = 15 * time.Second

// PressOrder is the route of unsafe requests of crookneck-bend, and OrderLookup that of
// safe ones.
func PressOrder(service string) Route {
	return Route{Name: "r-press", Host: Host, PathPrefix: "/puxa403/", Kind: "unsafe", TimeoutMs: 1000, TargetMs: 120, Priority: 2, Service: service, MaxAttempts: 1}
}

// OrderLookup is the route of safe requests of crookneck-bend.
func OrderLookup(service string) Route {
	return Route{Name: "r-lookup", Host: Host, PathPrefix: "/cufi504/", Kind: "safe", TimeoutMs: 1000, TargetMs: 120, Priority: 2, Service: service, MaxAttempts: 2}
}

// Config returns a configuration as the operator writes it to config/main. The services
// are like those of crookneck-bend: a model service, and others of the kind of its desk.
func Config(version int, models string, desks []string, routes ...Route) any {
	services := []any{map[string]any{
		"name": models, "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kvCapacityTokens": 615178, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "moves": true, "backups": true,
			"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": ModelName}},
		},
	}}
	for _, desk := range desks {
		services = append(services, map[string]any{"name": desk, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": IdleTimeout.Milliseconds(), "tokensPerS": 330000,
		},
		"tenants": []any{map[string]any{"name": Tenant, "apiKeys": []any{Key}, "priority": 1}},
	}
}

// Register writes the entry of a server.
func (s *Store) Register(srv *Server) {
	s.Put("servers", srv.ID, map[string]any{
		"service": srv.Service, "address": srv.Address, "zone": srv.Zone, "version": "v1", "slots": srv.Slots, "state": srv.state(),
		"coldRemainingMs": 0, "stage": "unified", "models": []any{}, "sequence": 1, "born": srv.Born,
	})
}

// BendSchedule is the route of streams of crookneck-bend that may be resumed.
func BendSchedule(service string) Route {
	return Route{
		Name: "r-bend", Host: Host, PathPrefix: "/lohu930/", Kind: "streaming", TimeoutMs: 8000, TargetMs: 600, GapMs: 300, Priority: 1,
		Service: service, MaxAttempts: 2, StickySessions: true, ResumeStreams: true,
	}
}

// ClearanceCheck is the route of streams of crookneck-bend that may not be repeated.
func ClearanceCheck(service string) Route {
	return Route{
		Name: "r-check", Host: Host, PathPrefix: "/pufi791/", Kind: "streaming", TimeoutMs: 5000, TargetMs: 600, GapMs: 300, Priority: 1,
		Service: service, MaxAttempts: 1, StickySessions: true,
	}
}
