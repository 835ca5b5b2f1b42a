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

// maxRetries bounds how often an idempotent request is dispatched again after
// an attempt whose fate is unknown.
const maxRetries = 1

// overheadBytes is the memory of a waiting request beside its body.
const overheadBytes = 4 << 10

// job is a request on its way through this router.
type job struct {
	req     *caller.Request
	queued  dispatch.Request
	solo    bool
	retries int
	// again is set once the request has been in its queue.
	again bool
	// dispatched is set once an attempt may have been received.
	dispatched bool
	// relayed counts the answer's bytes that the caller was sent.
	relayed uint64
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
		return r.serveOnce(ctx, req, w)
	}
	return r.serveIdempotent(ctx, r.newJob(req), w)
}

// admit refuses what this router must not queue.
func (r *Router) admit(req *caller.Request) error {
	if r.draining.Load() {
		return retryLater("stopping", "this router is stopping")
	}
	if r.behind.Load() {
		return retryLater("configuration_behind", "this router lacks the configuration in force")
	}
	if r.suspects.refuses(req.Digest) {
		return quarantined()
	}
	return nil
}

func (r *Router) newJob(req *caller.Request) *job {
	snapshot := r.adoption.Snapshot()
	now := time.Now()
	return &job{
		req: req,
		queued: dispatch.Request{
			ID:          r.queue.newRequestID(),
			Service:     req.Service,
			Team:        req.Team,
			Bytes:       int64(len(req.Body)) + overheadBytes,
			Arrived:     now,
			Deadline:    queueDeadline(req, now),
			AffinityKey: req.AffinityKey,
			SpillAfter:  snapshot.Inventory.Rules.SpillAfter.Std(),
		},
	}
}

// queueDeadline returns when a request has waited for too long. Without the
// caller's deadline only its wait is bounded: what runs is not cut by it. A
// non-idempotent request never waits longer than MaxWait, because its claim
// has to be kept until it has run.
func queueDeadline(req *caller.Request, arrived time.Time) time.Time {
	latest := arrived.Add(req.MaxWait)
	if req.Deadline.IsZero() || req.NonIdempotent && req.Deadline.After(latest) {
		return latest
	}
	return req.Deadline
}

// serveIdempotent runs a request that may be repeated.
func (r *Router) serveIdempotent(ctx context.Context, j *job, w caller.Responder) error {
	r.budget.deposit()
	for {
		res, err := r.dispatchOnce(ctx, j, w, uuid.NewString())
		if err != nil {
			return r.refusal(ctx, j, err)
		}
		if res.outcome == peerpb.Outcome_OUTCOME_COMPLETE {
			completed.Add(1)
			return nil
		}
		if err := r.retry(ctx, j, w, res); err != nil {
			return err
		}
	}
}

// retry decides whether an attempt that did not complete is followed by
// another one.
func (r *Router) retry(ctx context.Context, j *job, w caller.Responder, res result) error {
	if res.callerGone {
		return caller.ErrCallerGone
	}
	if res.outcome == peerpb.Outcome_OUTCOME_NOT_RUN {
		return nil
	}
	if ctx.Err() != nil {
		return r.refusal(ctx, j, context.Cause(ctx))
	}
	j.queued.Exclude = r.membership.avoid(j.req.Service, append(j.queued.Exclude, res.sidecar))
	if r.suspects.refuses(j.req.Digest) {
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

// dispatchOnce waits for a slot and runs one attempt. An error means that the
// request left its queue without being dispatched.
func (r *Router) dispatchOnce(ctx context.Context, j *job, w caller.Responder, attemptID string) (result, error) {
	bind, err := r.waitForSlot(ctx, j)
	if err != nil {
		return result{}, err
	}
	session := r.sessions.Get(bind.Sidecar)
	if session == nil {
		return result{outcome: peerpb.Outcome_OUTCOME_NOT_RUN, reason: "session closed"}, nil
	}
	if r.suspects.refuses(j.req.Digest) {
		// It became known while the request waited.
		r.queue.returnGrant(j.queued, bind)
		return result{}, quarantined()
	}
	j.solo = r.suspects.suspected(j.req.Digest)
	a := &attempt{id: attemptID, job: j, bind: bind, w: w, session: session}
	dispatched.Add(1)
	res := a.run(ctx)
	dispatched.Add(-1)
	r.queue.step(dispatch.RequestEnded{Sidecar: bind.Sidecar})
	res.sidecar = bind.Sidecar
	if res.crashID != "" {
		r.suspects.crashed(j.req, res.crashID)
	}
	return res, nil
}

func (r *Router) waitForSlot(ctx context.Context, j *job) (*dispatch.Bind, error) {
	ctx, span := telemetry.StartSpan(ctx, "router.queue")
	defer span.End()
	v, err := r.queue.wait(ctx, j.queued, j.again)
	j.again = true
	if err != nil {
		return nil, err
	}
	if v.refuse != nil {
		return nil, refusalOf(v.refuse)
	}
	return v.bind, nil
}
