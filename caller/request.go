// Package caller is the interface towards callers: it authenticates teams,
// checks requests, and writes answers and refusals.
package caller

import (
	"context"
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Names of headers of the callers' interface.
const (
	HeaderOutcome        = "Fulmarspindle-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRetryAfter     = "Retry-After"
)

// Outcome tells the caller what is known of its request.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete means that the answer is the upstream's whole answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that no upstream was handed the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Request is a checked request of a team.
type Request struct {
	Service fleet.ServiceID
	Team    fleet.TeamID
	Method  string
	// Path is the upstream's path with its query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is zero when the caller set none.
	Deadline time.Time
	// MaxWait bounds how long the request waits when the caller set no deadline,
	// and always if it is non-idempotent.
	MaxWait time.Duration
	// NonIdempotent requests run at most once under IdempotencyKey.
	NonIdempotent  bool
	IdempotencyKey string
	// Digest identifies team, service and content.
	Digest string
	// AffinityKey groups requests with a common prefix.
	AffinityKey uint64
}

// Responder receives the upstream's answer. Start is called once, before any
// Write; a Responder that returns an error has lost its caller.
type Responder interface {
	Start(status int, header http.Header) error
	Write(p []byte) error
	// Started reports whether bytes may have reached the caller.
	Started() bool
}

// Backend serves checked requests. A *Refusal error is sent to the caller; any
// other error after the first byte breaks the answer off.
type Backend interface {
	Serve(ctx context.Context, req *Request, w Responder) error
}

// Refusal is a final answer that is not the upstream's.
type Refusal struct {
	Status  int
	Outcome Outcome
	Code    string
	Message string
	// RetryAfter is zero when the caller need not wait or should not resend.
	RetryAfter time.Duration
}

// Error returns the refusal's code and message.
func (r *Refusal) Error() string { return "caller: " + r.Code + ": " + r.Message }

// NotRun returns a refusal of a request that no upstream was handed.
func NotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Code: code, Message: message}
}

// Unknown returns a refusal of a request whose fate is unknown.
func Unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Code: code, Message: message}
}
