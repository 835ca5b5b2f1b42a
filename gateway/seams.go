package gateway

import (
	"context"
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// Inbound is a caller's request without its body.
type Inbound struct {
	ID   string
	Host string
	// URI is the path and query as they were sent, Path the part of it that
	// selects the route.
	URI  string
	Path string
	Key  string
	// Header is what goes on to the upstream.
	Header http.Header
	// Deadline is how long the caller waits; zero if it does not say.
	Deadline     time.Duration
	Prompt       placement.Prompt
	OutputTokens int
}

// Outbound is what the gateway tells an upstream of a request.
type Outbound struct {
	Upstream fleet.UpstreamID
	Team     fleet.TeamID
	// Deadline is the time that is left.
	Deadline time.Duration
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
}

// Verdict is what an answer's head says of its request.
type Verdict int

// Verdicts.
const (
	// Ran means that the upstream has run the request.
	Ran Verdict = iota
	// Failed means that it ran and failed by the upstream's own fault.
	Failed
	// NotRun means that it has not run and never will.
	NotRun
	// Spoiled means that the bytes are no answer of the upstream's.
	Spoiled
)

// Dialect is what callers and upstreams speak beside plain HTTP.
type Dialect interface {
	// Parse reads a caller's headers. Errors tell the caller what is wrong.
	Parse(r *http.Request) (Inbound, error)
	// Outbound returns the headers of a request to an upstream.
	Outbound(in Inbound, out Outbound) http.Header
	// Answers tells whether an answer belongs to a request.
	Answers(in Inbound, status int, header http.Header) bool
	// Verdict judges an answer by its head.
	Verdict(status int, header http.Header) Verdict
	// Relayed returns the headers of an answer that go on to the caller.
	Relayed(header http.Header) http.Header
}

// Store is where the operators' configuration and the registered upstreams are
// read from. Revisions order all changes of the store.
type Store interface {
	ReadRouting(ctx context.Context) (route.Definition, uint64, error)
	// WatchRouting waits for a change after revision. The definition is nil
	// without one.
	WatchRouting(ctx context.Context, revision uint64) (*route.Definition, uint64, error)
	ListUpstreams(ctx context.Context) ([]registry.Statement, uint64, error)
	WatchUpstreams(ctx context.Context, revision uint64) ([]registry.Statement, uint64, error)
}
