package standin

// Kinds of the objects that operators and servers write.
const (
	// ConfigKind and ConfigName name the object of the operators' configuration, whose
	// spec is a Configuration.
	ConfigKind = "config"
	ConfigName = "main"
	// ServersKind is the kind of Registration.
	ServersKind = "servers"
	// EvacuationsKind is the kind of evacuations. An object is named after the failure
	// domain, and its spec is an empty Evacuation.
	EvacuationsKind = "evacuations"
)

// Evacuation is the spec of an evacuation.
type Evacuation struct{}

// Configuration is the operators' configuration.
type Configuration struct {
	Version  int             `json:"version"`
	Routes   []Route         `json:"routes"`
	Services []ServiceConfig `json:"services"`
	Limits   Limits          `json:"limits"`
	Tenants  []Tenant        `json:"tenants"`
}

// Kinds of routes.
const (
	SafeRoute      = "safe"
	UnsafeRoute    = "unsafe"
	StreamingRoute = "streaming"
)

// Route is a route of a Configuration.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	// Kind is SafeRoute, UnsafeRoute or StreamingRoute.
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMs       int64  `json:"timeoutMs"`
	TargetLatencyMs int64  `json:"targetLatencyMs"`
	TargetGapMs     int64  `json:"targetGapMs,omitempty"`
	MaxAttempts     int    `json:"maxAttempts"`
	StickySessions  bool   `json:"stickySessions,omitempty"`
	ResumeStreams   bool   `json:"resumeStreams,omitempty"`
	// AllowedRegions are the home regions of the route; none restricts nothing.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// ServiceConfig is a service of a Configuration.
type ServiceConfig struct {
	Name           string `json:"name"`
	MaxConnections int    `json:"maxConnections"`
	// ColdStartS is how long a server is cold after a start, in seconds. ColdPerS is the
	// number of requests per second that it tolerates meanwhile; zero means no limit.
	ColdStartS float64       `json:"coldStartS,omitempty"`
	ColdPerS   float64       `json:"coldPerS,omitempty"`
	Engine     *EngineConfig `json:"engine,omitempty"`
}

// EngineConfig describes the engines of a service.
type EngineConfig struct {
	Slots            int `json:"slots"`
	KVCapacityTokens int `json:"kvCapacityTokens"`
}

// Limits are the limits of a Configuration.
type Limits struct {
	MaxBodyBytes int `json:"maxBodyBytes"`
}

// Tenant is a team of a Configuration.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	// AllowedRegions are the home regions of the team; none restricts nothing.
	AllowedRegions []string `json:"allowedRegions,omitempty"`
}

// States of a Registration.
const (
	ServerReady    = "ready"
	ServerDraining = "draining"
)

// Registration is the spec of the object in which a server registers itself.
type Registration struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"zone"`
	Version       string `json:"version"`
	Slots         int    `json:"slots"`
	// State is ServerReady or ServerDraining.
	State string `json:"state"`
	// ColdRemainingMs is how much longer the server is cold at the time of writing.
	ColdRemainingMs int64 `json:"coldRemainingMs"`
	Sequence        int   `json:"sequence"`
	// StartedUnixMs is the time at which the server started.
	StartedUnixMs int64 `json:"born"`
}
