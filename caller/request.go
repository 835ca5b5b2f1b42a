// Package caller implements the HTTP interface for callers. It authenticates teams,
// validates requests, and writes responses and refusals.
package caller

import (
	"context"
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Names of the headers of this interface.
const (
	HeaderOutcome        = "Fulmarspindle-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRetryAfter     = "Retry-After"
)

// Outcome tells the caller whether its request ran.
type Outcome string

// Outcomes.
const (
	// OutcomeComplete means that the response is the upstream's complete response.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that the request was not sent to any upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run, in part or as a whole.
	OutcomeUnknown Outcome = "unknown"
)

// Request is a validated request of a team.
type Request struct {
	Service fleet.ServiceID
	Team    fleet.TeamID
	Method  string
	// Path is the request URI at the upstream: the path, still escaped, and the
	// query.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is zero if the caller set no timeout.
	Deadline time.Time
	// MaxWait bounds the time that the request waits. It applies if the caller set
	// no deadline, and to every non-idempotent request.
	MaxWait time.Duration
	// NonIdempotent requests run at most once under IdempotencyKey.
	NonIdempotent  bool
	IdempotencyKey string
	// Digest is a hash of team, service, method, path and body.
	Digest string
	// AffinityKey is equal for prompts with the same prefix, and zero for plain
	// services.
	AffinityKey uint64
}

// Responder receives the upstream's response. Start is called before any Write, and
// again only if Started is false, to replace a response that was buffered. An error
// means that the connection to the caller is lost.
type Responder interface {
	Start(status int, header http.Header) error
	Write(p []byte) error
	// Started reports whether a part of the response may have reached the caller.
	Started() bool
}

// Backend serves validated requests. If the response has not started, a returned
// error is sent to the caller: a *Refusal as it is, any other error as an unknown
// outcome. Otherwise the response is aborted.
type Backend interface {
	Serve(ctx context.Context, req *Request, w Responder) error
}

// Refusal is an error that is sent to the caller in place of the upstream's response.
type Refusal struct {
	Status  int
	Outcome Outcome
	Code    string
	Message string
	// RetryAfter is zero if the caller need not wait before it retries, or should
	// not retry.
	RetryAfter time.Duration
}

// Error implements error. It returns the refusal's code and message.
func (r *Refusal) Error() string { return "caller: " + r.Code + ": " + r.Message }

// NotRun returns a refusal of a request that was not sent to any upstream.
func NotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeNotRun, Code: code, Message: message}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Outcome: OutcomeUnknown, Code: code, Message: message}
}
