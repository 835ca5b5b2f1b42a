package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// maxRetries limits how often an idempotent request is dispatched again after an
// attempt with an unknown outcome.
const maxRetries = 1

// requestOverheadBytes is the memory of a queued request in addition to its body.
const requestOverheadBytes = 4 << 10

// job is the state of an admitted request.
type job struct {
	req        *caller.Request
	queueEntry dispatch.Request
	// solo is set for a suspect, which must run alone on its upstream.
	solo bool
	// retries is the number of dispatches after an attempt with an unknown outcome.
	retries int
	// requeue is set once the request has been queued; it then rejoins at the
	// head of its queue.
	requeue bool
	// dispatched is set once a sidecar may have received an attempt.
	dispatched bool
	// relayedBytes is the number of bytes of the response body that were passed
	// to the responder.
	relayedBytes uint64
}

// Serve implements caller.Backend.
func (r *Router) Serve(ctx context.Context, req *caller.Request, w caller.Responder) error {
	requests.Add(1)
	if err := r.admit(req); err != nil {
		return err
	}
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	if req.NonIdempotent {
		return r.serveNonIdempotent(ctx, req, w)
	}
	return r.serveIdempotent(ctx, r.newJob(req), w)
}

// admit returns a refusal if the router must not queue the request: it is
// draining, its configuration is behind, or the request is quarantined.
func (r *Router) admit(req *caller.Request) error {
	if r.draining.Load() {
		return retryLater("stopping", "this router is stopping")
	}
	if r.configBehind.Load() {
		return retryLater("configuration_behind", "this router lacks the configuration in force")
	}
	if r.suspects.isQuarantined(req.Digest) {
		return quarantined()
	}
	return nil
}

func (r *Router) newJob(req *caller.Request) *job {
	snapshot := r.configAdopter.Snapshot()
	now := time.Now()
	return &job{
		req: req,
		queueEntry: dispatch.Request{
			ID:          r.queue.newRequestID(),
			Service:     req.Service,
			Team:        req.Team,
			Bytes:       int64(len(req.Body)) + requestOverheadBytes,
			Arrived:     now,
			Deadline:    queueDeadline(req, now),
			AffinityKey: req.AffinityKey,
			SpillAfter:  snapshot.Inventory.Rules.SpillAfter.Std(),
		},
	}
}

// queueDeadline returns the time at which a queued request is refused. For a
// request without a deadline of its caller, MaxWait limits only the time in the
// queue and not the run. A non-idempotent request never waits longer than
// MaxWait, because its claim must be retained until it has run.
func queueDeadline(req *caller.Request, arrived time.Time) time.Time {
	latest := arrived.Add(req.MaxWait)
	if req.Deadline.IsZero() || req.NonIdempotent && req.Deadline.After(latest) {
		return latest
	}
	return req.Deadline
}

// serveIdempotent runs a request that may run more than once.
func (r *Router) serveIdempotent(ctx context.Context, j *job, w caller.Responder) error {
	r.budget.deposit()
	for {
		res, err := r.dispatchAttempt(ctx, j, w, uuid.NewString())
		if err != nil {
			return r.refusalFromError(ctx, j, err)
		}
		if res.outcome == peerpb.Outcome_OUTCOME_COMPLETE {
			completed.Add(1)
			return nil
		}
		if err := r.prepareRetry(ctx, j, w, res); err != nil {
			return err
		}
	}
}

// prepareRetry returns nil if a request whose attempt did not complete may be
// dispatched again, and the error for its caller otherwise.
func (r *Router) prepareRetry(ctx context.Context, j *job, w caller.Responder, res attemptResult) error {
	if res.callerGone {
		return caller.ErrCallerGone
	}
	if res.outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return nil
	}
	if ctx.Err() != nil {
		return r.refusalFromError(ctx, j, context.Cause(ctx))
	}
	j.queueEntry.Exclude = r.membership.excludedFromRetry(j.req.Service, append(j.queueEntry.Exclude, res.sidecar))
	if r.suspects.isQuarantined(j.req.Digest) {
		return caller.Unknown(http.StatusUnprocessableEntity, "quarantined",
			"two upstreams crashed while they ran this request")
	}
	resumable := !w.Started() || res.streaming
	if !resumable || j.retries >= maxRetries || !r.budget.withdraw() {
		return caller.Unknown(http.StatusBadGateway, "upstream_failed", res.reason)
	}
	j.retries++
	retries.Add(1)
	return nil
}

// dispatchAttempt waits for a slot and runs one attempt. An error means that
// this attempt was not dispatched.
func (r *Router) dispatchAttempt(ctx context.Context, j *job, w caller.Responder, attemptID string) (attemptResult, error) {
	bind, err := r.waitForSlot(ctx, j)
	if err != nil {
		return attemptResult{}, err
	}
	session := r.sessions.Get(bind.Sidecar)
	if session == nil {
		return attemptResult{outcome: peerpb.Outcome_OUTCOME_NOT_RUN, reason: "session closed"}, nil
	}
	if r.suspects.isQuarantined(j.req.Digest) {
		// The request was quarantined while it waited.
		r.queue.returnGrant(j.queueEntry, bind)
		return attemptResult{}, quarantined()
	}
	j.solo = r.suspects.isSuspect(j.req.Digest)
	a := &attempt{id: attemptID, job: j, bind: bind, w: w, session: session}
	dispatched.Add(1)
	res := a.run(ctx)
	dispatched.Add(-1)
	r.queue.step(dispatch.RequestEnded{Sidecar: bind.Sidecar})
	res.sidecar = bind.Sidecar
	if res.crashID != "" {
		r.suspects.recordCrash(j.req, res.crashID)
	}
	return res, nil
}

func (r *Router) waitForSlot(ctx context.Context, j *job) (*dispatch.Bind, error) {
	ctx, span := telemetry.StartSpan(ctx, "router.queue")
	defer span.End()
	res, err := r.queue.wait(ctx, j.queueEntry, j.requeue)
	j.requeue = true
	if err != nil {
		return nil, err
	}
	if res.refuse != nil {
		return nil, refusalFromQueue(res.refuse)
	}
	return res.bind, nil
}
