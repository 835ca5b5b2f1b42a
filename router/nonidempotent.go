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

// maxClaimRounds bounds how often a request claims its key anew after other
// attempts released it.
const maxClaimRounds = 3

// releaseTimeout bounds the release of a claim after the caller was refused.
const releaseTimeout = 5 * time.Second

// serveNonIdempotent runs a non-idempotent request at most once under its key. The run
// goes on when the caller leaves, so that its next try gets the answer.
func (r *Router) serveNonIdempotent(ctx context.Context, req *caller.Request, w caller.Responder) error {
	for range maxClaimRounds {
		record := r.newRecord(req)
		err := r.claimAndStart(ctx, req, record)
		var held *keyClaimedError
		if errors.As(err, &held) {
			again, err := r.serveDuplicate(ctx, req, held.record, w)
			if again {
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

// keyClaimedError carries the record of the attempt that holds a key.
type keyClaimedError struct{ record claim.Record }

func (e *keyClaimedError) Error() string {
	return "router: key is claimed by attempt " + string(e.record.Attempt)
}

// claimAndStart makes the claim durable and starts the run.
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

// runClaimed dispatches a claimed request until an attempt ran or the queue
// refused it. The only thing that lets it dispatch again is the sidecar's word
// that the attempt did not run.
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
			r.responses.Finish(record.Attempt, w.answer)
		default:
			r.log.Warn("outcome of a claimed request is unknown", zap.String("attempt", string(record.Attempt)),
				zap.String("reason", res.reason))
			r.responses.FinishUnknown(record.Attempt)
		}
		return
	}
}

// releaseClaim gives the key back after a true refusal.
func (r *Router) releaseClaim(record claim.Record, cause error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.ctx), releaseTimeout)
	defer cancel()
	r.refusals.put(record.Attempt, cause)
	if err := r.claims.Release(ctx, record.Scope, record.Attempt); err != nil {
		r.log.Warn("claim not released", zap.String("attempt", string(record.Attempt)), zap.Error(err))
	}
	r.responses.FinishNotRun(record.Attempt)
}

// replay waits for an attempt of this router and gives its answer.
func (r *Router) replay(ctx context.Context, id claim.AttemptID, w caller.Responder) error {
	answer, state, err := r.responses.Wait(ctx, id)
	if err != nil {
		return stillRunning(ctx)
	}
	return r.respond(id, answer, state, w)
}

func stillRunning(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return caller.Unknown(http.StatusGatewayTimeout, "deadline",
			"the request is still running; repeat it with the same key for its answer")
	}
	return caller.ErrCallerGone
}

// respond sends what is known of an ended attempt.
func (r *Router) respond(id claim.AttemptID, answer claim.Response, state claim.ResponseState, w caller.Responder) error {
	switch state {
	case claim.ResponseCached:
		return sendResponse(answer, w)
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

func sendResponse(answer claim.Response, w caller.Responder) error {
	header := make(http.Header, len(answer.Header))
	for _, field := range answer.Header {
		header[field.Name] = field.Values
	}
	if err := w.Start(answer.Status, header); err != nil {
		return err
	}
	return w.Write(answer.Body)
}

// responseRecorder is the responder of a claimed request: it keeps the whole answer.
type responseRecorder struct{ answer claim.Response }

// Start implements caller.Responder.
func (c *responseRecorder) Start(status int, header http.Header) error {
	c.answer = claim.Response{Status: status}
	for name, values := range header {
		c.answer.Header = append(c.answer.Header, claim.HeaderField{Name: name, Values: values})
	}
	return nil
}

// Write implements caller.Responder. Bytes over the bound are counted and not
// kept; ResponseCache then keeps only that the attempt ran.
func (c *responseRecorder) Write(p []byte) error {
	if len(c.answer.Body) <= claim.DefaultMaxBodyBytes {
		c.answer.Body = append(c.answer.Body, p...)
	}
	return nil
}

// Started implements caller.Responder.
func (c *responseRecorder) Started() bool { return false }
