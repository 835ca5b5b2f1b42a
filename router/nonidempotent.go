package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/claim"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// maxClaimRounds limits how often a request tries to claim its key while other
// attempts claim and release it.
const maxClaimRounds = 3

// releaseTimeout limits the release of a claim whose request was refused.
const releaseTimeout = 5 * time.Second

// serveNonIdempotent runs a request at most once for its idempotency key. The run
// continues if the caller disconnects, so that the caller's retry gets the
// response.
func (r *Router) serveNonIdempotent(ctx context.Context, req *caller.Request, w caller.Responder) error {
	for range maxClaimRounds {
		record := r.newRecord(req)
		err := r.claimAndStart(ctx, req, record)
		var claimed *keyClaimedError
		if errors.As(err, &claimed) {
			released, err := r.serveDuplicate(ctx, req, claimed.record, w)
			if released {
				continue
			}
			return err
		}
		if err != nil {
			return err
		}
		return r.replay(ctx, record.Attempt, w)
	}
	return retryLater("claim_contended", "the key is claimed and released by other attempts")
}

func (r *Router) newRecord(req *caller.Request) claim.Record {
	return claim.Record{
		Scope:       claim.ScopeKey{Team: req.Team, Service: req.Service, Key: req.IdempotencyKey},
		Attempt:     claim.AttemptID(uuid.NewString()),
		Router:      r.settings.ID,
		Incarnation: r.incarnation,
		ClaimedAt:   time.Now(),
		Digest:      claim.RequestDigest(req.Method, req.Path, req.Body),
		State:       claim.StateClaimed,
	}
}

// keyClaimedError reports that another attempt holds the claim of a key.
type keyClaimedError struct{ record claim.Record }

func (e *keyClaimedError) Error() string {
	return "router: key is claimed by attempt " + string(e.record.Attempt)
}

// claimAndStart records the claim and then starts the run. It returns a
// keyClaimedError if another attempt holds the claim.
func (r *Router) claimAndStart(ctx context.Context, req *caller.Request, record claim.Record) error {
	if err := r.responses.Begin(record.Attempt); err != nil {
		return retryLater("too_many_claims", "too many non-idempotent requests are running")
	}
	res, err := r.claims.Claim(ctx, record)
	if err == nil && res.Status == claim.StatusClaimed {
		r.inFlight.Add(1)
		go r.runClaimed(req, record)
		return nil
	}
	r.responses.FinishNotRun(record.Attempt)
	switch {
	case errors.Is(err, claim.ErrKeyReused):
		return keyReused()
	case errors.Is(err, claim.ErrInvalidRecord):
		return caller.NotRun(http.StatusBadRequest, "invalid_idempotency_key", err.Error())
	case err != nil:
		r.log.Warn("claim failed", zap.String("team", string(req.Team)), zap.Error(err))
		return retryLater("claim_unavailable", "the claim could not be recorded; the request was not run")
	}
	return &keyClaimedError{record: res.Record}
}

func keyReused() *caller.Refusal {
	return caller.NotRun(http.StatusUnprocessableEntity, "key_reused",
		"this Idempotency-Key was used for another request")
}

// runClaimed dispatches a claimed request until it is refused or an attempt may
// have run. Only the outcome NOT_RUN permits another dispatch.
func (r *Router) runClaimed(req *caller.Request, record claim.Record) {
	defer r.inFlight.Done()
	ctx := context.WithoutCancel(r.ctx)
	j := r.newJob(req)
	for {
		w := &responseRecorder{}
		res, err := r.dispatchAttempt(ctx, j, w, string(record.Attempt))
		if err != nil {
			r.releaseClaim(record, err)
			return
		}
		switch res.outcome {
		case peerpb.Outcome_OUTCOME_NOT_RUN:
			continue
		case peerpb.Outcome_OUTCOME_COMPLETE:
			completed.Add(1)
			r.responses.Finish(record.Attempt, w.response)
		default:
			r.log.Warn("outcome of a claimed request is unknown", zap.String("attempt", string(record.Attempt)),
				zap.String("reason", res.reason))
			r.responses.FinishUnknown(record.Attempt)
		}
		return
	}
}

// releaseClaim releases the key of a request that did not run, and keeps the
// refusal for the callers that wait for it.
func (r *Router) releaseClaim(record claim.Record, cause error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), releaseTimeout)
	defer cancel()
	r.refusals.put(record.Attempt, cause)
	if err := r.claims.Release(ctx, record.Scope, record.Attempt); err != nil {
		r.log.Warn("claim not released", zap.String("attempt", string(record.Attempt)), zap.Error(err))
	}
	r.responses.FinishNotRun(record.Attempt)
}

// replay waits for an attempt of this router and sends its response.
func (r *Router) replay(ctx context.Context, id claim.AttemptID, w caller.Responder) error {
	response, state, err := r.responses.Wait(ctx, id)
	if err != nil {
		return stillRunning(ctx)
	}
	return r.respond(id, response, state, w)
}

func stillRunning(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return caller.Unknown(http.StatusGatewayTimeout, "deadline",
			"the request is still running; repeat it with the same key for its answer")
	}
	return caller.ErrCallerGone
}

// respond sends the response of an ended attempt, or returns an error that tells
// its outcome.
func (r *Router) respond(id claim.AttemptID, response claim.Response, state claim.ResponseState, w caller.Responder) error {
	switch state {
	case claim.ResponseCached:
		return sendResponse(response, w)
	case claim.ResponseDiscarded:
		return alreadyRun()
	case claim.ResponseNotRun:
		return r.refusals.get(id)
	default:
		return caller.Unknown(http.StatusConflict, "outcome_unknown",
			"the request was dispatched and its outcome is unknown")
	}
}

func alreadyRun() *caller.Refusal {
	return caller.Unknown(http.StatusConflict, "already_run", "the request ran and its answer is no longer kept")
}

func sendResponse(response claim.Response, w caller.Responder) error {
	header := make(http.Header, len(response.Header))
	for _, field := range response.Header {
		header[field.Name] = field.Values
	}
	if err := w.Start(response.Status, header); err != nil {
		return err
	}
	return w.Write(response.Body)
}

// responseRecorder is the responder of a claimed request. It buffers the response.
type responseRecorder struct{ response claim.Response }

// Start implements caller.Responder.
func (c *responseRecorder) Start(status int, header http.Header) error {
	c.response = claim.Response{Status: status}
	for name, values := range header {
		c.response.Header = append(c.response.Header, claim.HeaderField{Name: name, Values: values})
	}
	return nil
}

// Write implements caller.Responder. It stops buffering once the body is larger
// than the limit of ResponseCache, which then records only that the attempt ran.
func (c *responseRecorder) Write(p []byte) error {
	if len(c.response.Body) <= claim.DefaultMaxBodyBytes {
		c.response.Body = append(c.response.Body, p...)
	}
	return nil
}

// Started implements caller.Responder. It is always false, because nothing is
// sent to a caller before the response is complete.
func (c *responseRecorder) Started() bool { return false }
