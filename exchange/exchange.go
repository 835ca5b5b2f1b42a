// Package exchange holds what a request and an answer say of themselves, in terms
// that no wire format binds.
package exchange

import (
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
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

// Outbound is what an upstream is told of a request.
type Outbound struct {
	Upstream fleet.UpstreamID
	Team     fleet.TeamID
	// Deadline is the time that is left.
	Deadline time.Duration
	// ResumeAfter is the last event that the caller has; empty for none.
	ResumeAfter string
	// CopyFrom is the address of an engine from which cached prompt parts are
	// to be copied; empty for none.
	CopyFrom string
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
