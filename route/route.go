// Package route matches requests to routes, services and teams. A Table is immutable:
// each new configuration gets a new Table.
package route

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Kind is the kind of a route. It determines whether its requests may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests are run at most once.
	Unsafe Kind = iota
	// Safe requests may be run more than once.
	Safe
	// Stream requests are answered by event streams. They are run at most once
	// unless the route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Stream:
		return "stream"
	default:
		return "unsafe"
	}
}

// WeightedService is a service that gets a part of a route's requests in proportion to
// its weight.
type WeightedService struct {
	Service fleet.ServiceID
	Weight  float64
}

// Route configures the requests to one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for a response; zero means no
	// limit.
	Timeout time.Duration
	// Objective is the latency objective for the response or, of a stream, for the
	// first event. Anything later doesn't count as on time.
	Objective time.Duration
	// MaxGap is the longest time between consecutive events of a stream that still
	// counts as on time.
	MaxGap time.Duration
	// Priority is the priority of the route; zero is the highest.
	Priority int
	Split    []WeightedService
	// MaxAttempts is the maximum number of upstreams that may run one request.
	MaxAttempts int
	// Anonymous routes require no key.
	Anonymous bool
	// Generative routes carry prompts to model engines.
	Generative bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
	// Regions are the home regions: the only ones in which requests may be served,
	// cached and stored. Empty means any region.
	Regions []fleet.RegionID
}

// Repeatable reports whether a request of this route may be run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// MemoryTokens is the capacity of an engine's key-value cache in tokens, shared
	// by running requests and cached prompt prefixes.
	MemoryTokens int
	// TransferRate is the number of cached tokens per second that one engine can copy
	// from another; zero if engines don't copy.
	TransferRate float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID fleet.ServiceID
	// MaxConnections is the number of connections that one upstream accepts from all
	// routers together; zero means no limit.
	MaxConnections int
	// HealthPath is the path of the upstreams' health check; empty if there is none.
	HealthPath string
	// Engine is nil for services without model engines.
	Engine *Engine
	// ColdStart is how long an upstream is cold after a start, and ColdRate the number
	// of requests per second that a cold upstream tolerates from all routers together.
	// Zero ColdRate means no limit.
	ColdStart time.Duration
	ColdRate  float64
}

// Team is a customer, identified by its keys.
type Team struct {
	ID   fleet.TeamID
	Keys []string
	// Regions are the home regions of the team's requests; empty means any region. Both
	// those of the route and those of the team bind.
	Regions []fleet.RegionID
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is the combined throughput of all engines; zero if unknown.
	TokensPerSecond float64
}

// Definition is a complete routing configuration.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
