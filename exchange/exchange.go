// Package exchange defines the request and response metadata that the gateway
// works on, independent of any wire format.
package exchange

import (
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// Inbound is the metadata of a caller's request, without the body.
type Inbound struct {
	ID   string
	Host string
	// URI is the path and query as sent; Path is the part of it that selects the
	// route.
	URI  string
	Path string
	// Key is the API key that identifies the caller's team; empty for none.
	Key string
	// Header is forwarded to the upstream.
	Header http.Header
	// Deadline is the time from the arrival within which the caller expects the
	// answer; zero if it sent none.
	Deadline time.Duration
	Prompt   placement.Prompt
	// PartNames are the names of the parts of Prompt as the caller sent them, for logs.
	PartNames []string
	// ResumeAfter is the ID of the last event of a stream that the caller has from an earlier
	// request; zero if it has none.
	ResumeAfter int64
	// OutputTokens is the expected length of the answer in tokens.
	OutputTokens int
}

// Outbound is the metadata that is sent to an upstream with a request.
type Outbound struct {
	Upstream fleet.UpstreamID
	Team     fleet.TeamID
	// Deadline is the time left until the caller's deadline.
	Deadline time.Duration
	// ResumeAfter is the ID of the last event that the caller received; empty for none.
	ResumeAfter string
	// CopyFrom is the address of an engine to copy cached prompt blocks from;
	// empty for none.
	CopyFrom string
}

// RequestLimit is a limit on requests that an upstream names in its responses.
type RequestLimit struct {
	// Named is set if the response names a limit, and Malformed if that can't be read.
	Named     bool
	Malformed bool
	// Rate is the number of requests per second that the upstream takes from all routers
	// together.
	Rate float64
}

// SelfReport is what an upstream says of itself in the head of a response.
type SelfReport struct {
	// ColdRemaining is how much longer the upstream is cold; zero if it does not say.
	ColdRemaining time.Duration
	Limit         RequestLimit
	// Leaving is set if the upstream ends soon and must get no new requests.
	Leaving bool
	// Pause is for how long the upstream wants no requests from this router; zero for none.
	Pause time.Duration
}

// Outcome is the result of a request as read from the head of the response.
type Outcome int

// Outcomes.
const (
	// Ran means that the upstream ran the request.
	Ran Outcome = iota
	// Failed means that the request ran and the upstream failed it.
	Failed
	// NotRun means that the request did not run and will not run later.
	NotRun
	// Invalid means that the response did not come from the upstream or was altered
	// on the way.
	Invalid
)
