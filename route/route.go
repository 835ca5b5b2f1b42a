// Package route decides which service a request goes to, for which team, and
// under which terms. A Table is immutable: a new configuration is a new Table.
package route

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream answers are event streams. They run at most once unless the route
	// is resumable.
	Stream
)

// String returns the kind as it is logged.
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

// Share is a service's part of a route's requests.
type Share struct {
	Service fleet.ServiceID
	Weight  float64
}

// Route is what holds for the requests of one host and path prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting; zero means no
	// limit.
	Timeout time.Duration
	// Objective is the time to the answer, or to the first event of a stream,
	// that still counts as on time.
	Objective time.Duration
	// MaxGap is the longest pause between the events of a stream that still
	// counts as on time.
	MaxGap time.Duration
	// Priority is the route's rank; zero is the highest.
	Priority int
	Split    []Share
	// MaxAttempts is the number of upstreams that may run one request.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Generative routes carry prompts for model engines.
	Generative bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Repeatable reports whether a request of this route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// MemoryTokens bounds the tokens that running requests and cached prompt
	// parts take together.
	MemoryTokens int
	// TransferRate is the cached tokens that engines copy from each other in a
	// second; zero if they don't.
	TransferRate float64
}

// Service is a set of interchangeable upstreams.
type Service struct {
	ID fleet.ServiceID
	// MaxConnections is what one upstream accepts from all routers together;
	// zero means no limit.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Team is a holder of keys.
type Team struct {
	ID   fleet.TeamID
	Keys []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// TokensPerSecond is what all engines produce together; zero if unknown.
	TokensPerSecond float64
}

// Definition is a whole configuration.
type Definition struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}
