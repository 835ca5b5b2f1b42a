package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// classifyBlamed returns the result of an attempt that was canceled because a part of the
// prompt was blamed for crashes meanwhile.
func (g *Gateway) classifyBlamed(j *job, id string, err error) result {
	j.service.cancelAttempt(id)
	kind := broken
	if errors.Is(err, upstream.ErrNotSent) {
		kind = notSent
	}
	return result{kind: kind, err: errPartBlamed}
}

// classifyWithdrawn returns the result of an attempt that was abandoned before anything
// was sent, because the caller or the upstream disconnected while the connection was
// being established.
func (g *Gateway) classifyWithdrawn(ctx context.Context, j *job, id string, err error) result {
	j.service.cancelAttempt(id)
	if callerDisconnected(ctx) {
		return result{kind: callerLeftEarly, err: context.Cause(ctx)}
	}
	return result{kind: notSent, err: err}
}

// classifyError returns the result of an attempt that got no response.
func (g *Gateway) classifyError(ctx context.Context, j *job, id string, err error) result {
	if ctx.Err() != nil {
		g.endCancelled(j, id)
		kind := broken
		if errors.Is(err, upstream.ErrNotSent) {
			kind = notSent
		}
		return result{kind: kind, err: err}
	}
	if errors.Is(err, upstream.ErrNotSent) {
		g.recordOutcome(j, id, outlier.Unreachable)
		return result{kind: notSent, err: err}
	}
	outcome := outlier.Broken
	if upstream.IsMalformed(err) {
		outcome = outlier.Corrupt
	}
	g.recordOutcome(j, id, outcome)
	return result{kind: broken, err: err}
}

// classifyBroken returns the result of a response that broke off.
func (g *Gateway) classifyBroken(ctx context.Context, j *job, id string, x *upstream.Exchange, err error) result {
	switch {
	case eventstream.IsCorrupt(err), upstream.IsMalformed(err), errors.Is(err, errGap):
		return g.classifyCorrupt(j, id, x, err)
	case ctx.Err() != nil:
		j.service.cancelAttempt(id)
	case !x.RequestWritten():
		g.recordOutcome(j, id, outlier.Cut)
	default:
		g.recordOutcome(j, id, outlier.Broken)
	}
	return result{kind: broken, status: x.Response.StatusCode, err: err}
}

// classifyCorrupt returns the result of a response with bytes that are not the upstream's.
func (g *Gateway) classifyCorrupt(j *job, id string, x *upstream.Exchange, err error) result {
	x.MarkCorrupt()
	g.recordOutcome(j, id, outlier.Corrupt)
	return result{kind: broken, status: x.Response.StatusCode, err: err}
}

// hangObjectiveFactor is the multiple of the latency objective after which an upstream
// that has not responded counts as hanging.
const hangObjectiveFactor = 2

// endCancelled ends an attempt that was canceled by the caller or the timeout. An
// upstream that has been silent for long counts as failing, since a hanging upstream
// may keep its registration and pass its health checks.
func (g *Gateway) endCancelled(j *job, id string) {
	if time.Since(j.sentAt) >= hangObjectiveFactor*j.objective() {
		g.recordOutcome(j, id, outlier.Broken)
		return
	}
	j.service.cancelAttempt(id)
}

// recordOutcome records the outcome of an attempt for outlier ejection and crash
// correlation.
func (g *Gateway) recordOutcome(j *job, id string, outcome outlier.Outcome) {
	ejected := j.service.endAttempt(id, outcome)
	g.suspects.recordOutcome(j, outcome)
	switch {
	case ejected && outcome == outlier.Corrupt:
		g.logEjection(j.upstream, j.in.ID, "corrupt", nil)
	case ejected && outcome == outlier.Cut:
		g.logEjection(j.upstream, j.in.ID, "cut", nil)
	case ejected:
		g.recordEjection(j.upstream, j.in.ID, "outcome", nil)
	}
	if outcome == outlier.Cut || outcome == outlier.Broken && !ejected {
		go g.checkUpstream(j.service, j.upstream, j.in.ID, ejected)
	}
}

// recordEjection logs an ejection that a request caused and records the crash.
func (g *Gateway) recordEjection(u registry.Upstream, request, cause string, err error) {
	g.suspects.recordCrash(u)
	g.logEjection(u, request, cause, err)
}

func (g *Gateway) logEjection(u registry.Upstream, request, cause string, err error) {
	g.log.Warn("upstream ejected", zap.String("request", request), zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.ID)), zap.String("cause", cause), zap.Error(err))
}

// checkUpstream checks whether an upstream still accepts connections after a broken
// response. A single broken response does not distinguish a crash from a lost
// connection. ejected is set if that response ejected the upstream already.
func (g *Gateway) checkUpstream(s *service, u registry.Upstream, request string, ejected bool) {
	key := keyOf(u)
	if _, running := g.checks.LoadOrStore(key, true); running {
		return
	}
	defer g.checks.Delete(key)
	ctx, cancel := context.WithTimeout(g.background, g.options.Pool.DialTimeout)
	defer cancel()
	err := g.pool(u).Check(ctx)
	if errors.Is(err, upstream.ErrNotSent) && (s.markUnreachable(u.ID) || ejected) {
		g.recordEjection(u, request, "check", err)
	}
}
