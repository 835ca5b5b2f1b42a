package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/dispatch"
)

// quarantined returns the refusal of a quarantined request that was not dispatched.
func quarantined() *caller.Refusal {
	return caller.NotRun(http.StatusUnprocessableEntity, "quarantined",
		"this request was running at two upstream crashes and is not run again")
}

// retryLater returns a refusal of a request that did not run and may be sent again
// after a second.
func retryLater(code, message string) *caller.Refusal {
	refusal := caller.NotRun(http.StatusServiceUnavailable, code, message)
	refusal.RetryAfter = time.Second
	return refusal
}

// refusalFromQueue counts a refusal of the queue and converts it to the
// caller's.
func refusalFromQueue(r *dispatch.Refuse) *caller.Refusal {
	refused.Add(r.Reason.String(), 1)
	status := http.StatusTooManyRequests
	switch r.Reason {
	case dispatch.ReasonDeadline, dispatch.ReasonExpectedWait:
		status = http.StatusGatewayTimeout
	case dispatch.ReasonStopping, dispatch.ReasonRouterLimit:
		status = http.StatusServiceUnavailable
	case dispatch.ReasonTeamLimit:
	}
	refusal := caller.NotRun(status, r.Reason.String(), "the request was not run: "+r.Reason.String())
	refusal.RetryAfter = r.RetryAfter
	return refusal
}

// refusalFromError converts the error that ended a request to the error for its
// caller.
func (r *Router) refusalFromError(ctx context.Context, j *job, err error) error {
	var refusal *caller.Refusal
	if errors.As(err, &refusal) {
		if j.retries > 0 {
			// An earlier attempt may have run.
			refusal.Outcome = caller.OutcomeUnknown
		}
		return refusal
	}
	if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return caller.ErrCallerGone
	}
	timeout := caller.Unknown(http.StatusGatewayTimeout, "deadline", "the deadline passed")
	if !j.dispatched {
		timeout.Outcome = caller.OutcomeNotRun
	}
	return timeout
}
