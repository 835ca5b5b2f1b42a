package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/telemetry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// serve selects the service of a request and has the request answered.
func (g *Gateway) serve(ctx context.Context, j *job) {
	ctx, span := telemetry.StartSpan(ctx, "gateway.request", attribute.String("request", j.in.ID))
	defer span.End()
	if id, ok := j.route.SelectService(j.in.ID); ok {
		j.service = g.service(id)
	}
	if j.service == nil {
		g.sendRefusal(j, notRun("no_service", "the route has no service", g.options.StoreRetry))
		return
	}
	if callerDisconnected(ctx) {
		// The caller disconnected while the request waited to be read.
		g.breakOff(j, "caller_left_early")
		return
	}
	j.service.recordRequest()
	g.sendUntilFinal(ctx, j)
}

// sendUntilFinal sends a request to one upstream after the other until it has a final
// response.
func (g *Gateway) sendUntilFinal(ctx context.Context, j *job) {
	var last result
	for {
		if refused := g.refuseDuringShutdown(j); refused != nil {
			g.concludeRefused(j, last, refused)
			return
		}
		if refused := g.suspects.refusal(j); refused != nil {
			g.concludeRefused(j, last, refused)
			return
		}
		j.attempts++
		j.home.update(g.table.Load(), j.route.Name, j.team)
		decision := j.service.admit(j.admissionRequest())
		if !decision.Admitted {
			g.concludeNotAdmitted(j, last, decision)
			return
		}
		if refused := g.suspects.parts.claimTrial(j); refused != nil {
			j.service.cancelAttempt(j.attemptID())
			g.concludeRefused(j, last, refused)
			return
		}
		if j.needsRetryBudget() && !g.takeRetry(j, last) {
			j.service.cancelAttempt(j.attemptID())
			g.conclude(ctx, j, last)
			return
		}
		g.logDecision(j, "request sent", decision)
		j.upstream = decision.Upstream
		last = g.attempt(ctx, j, decision)
		j.recordAttempt(last)
		j.countAttemptMetrics(decision, last)
		g.logResult(j, decision, last)
		if !g.shouldRetry(ctx, j, last) {
			g.conclude(ctx, j, last)
			return
		}
	}
}

// recordAttempt updates the job with the result of an attempt.
func (j *job) recordAttempt(r result) {
	j.excluded = append(j.excluded, j.upstream.ID)
	j.charged = j.charged || r.charged(j.route.Generative)
	if r.reached() {
		j.reached++
	}
	if r.mayHaveRun() {
		j.mayHaveRun++
	}
}

func (j *job) countAttemptMetrics(d admission.Decision, r result) {
	attemptCounts.Add(fmt.Sprintf("%d/%s", j.attempts, r.kind), 1)
	upstreamCounts.Add(fmt.Sprintf("%s/%s", d.Upstream.ID, r.kind), 1)
	if r.firstEvent > 0 && j.route.Generative && j.attempts == 1 {
		predictionError.record(r.firstEvent - d.Predicted)
	}
}

func (j *job) countCompleteMetrics(r result) {
	outcome := "late"
	if j.route.Objective <= 0 || r.firstEvent <= j.route.Objective {
		outcome = "on_time"
	}
	requestCounts.Add(j.route.Kind.String()+"/"+outcome, 1)
	firstEventTime.record(r.firstEvent)
	totalTime.record(time.Since(j.arrived))
}

func (j *job) attemptID() string { return fmt.Sprintf("%s/%d", j.in.ID, j.attempts) }

func (j *job) admissionRequest() admission.Request {
	request := admission.Request{
		ID: j.attemptID(), Team: j.team, Prompt: j.in.Prompt, OutputTokens: j.in.OutputTokens,
		Objective: j.objective(), Elapsed: time.Since(j.arrived), Waited: j.priorWait, Exclude: j.excluded,
		AlreadyCharged: j.charged, Regions: j.home.current,
	}
	if j.attempts > 1 {
		// An upstream has already worked on the request: a late response is better than
		// none, so the elapsed time does not lead to a rejection.
		request.Elapsed = 0
	}
	return request
}

// objective returns the time within which the response should start.
func (j *job) objective() time.Duration {
	if j.route.Objective > 0 {
		return j.route.Objective
	}
	return time.Until(j.expires)
}

// shouldRetry decides whether an attempt is followed by another one.
func (g *Gateway) shouldRetry(ctx context.Context, j *job, last result) bool {
	if ctx.Err() != nil || last.kind == complete || last.kind.callerDisconnected() || !j.canContinue() {
		return false
	}
	if last.kind == notSent {
		// No upstream received the request, so the retry spends no budget.
		return len(j.excluded) < maxUnsentAttempts
	}
	if j.mayHaveRun >= j.route.MaxAttempts && last.mayHaveRun() {
		return false
	}
	if last.mayHaveRun() && !j.route.Repeatable() {
		return false
	}
	return !j.needsRetryBudget() || g.retryAllowed(j, last)
}

// maxUnsentAttempts limits the upstreams tried for a request that could not be sent.
const maxUnsentAttempts = 4

// conclude sends the final response according to the last attempt's result.
func (g *Gateway) conclude(ctx context.Context, j *job, last result) {
	switch {
	case last.kind == complete:
		g.concludeComplete(j, last)
	case last.kind == callerLeftEarly && !errors.Is(last.err, errDeadline):
		g.breakOff(j, "caller_left_early")
	case last.kind == callerGone && !errors.Is(last.err, errDeadline) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		g.breakOff(j, "caller_gone")
	case j.response.started:
		g.breakOff(j, "upstream_failed")
	case last.response != nil:
		last.response.send(j.response)
	case errors.Is(context.Cause(ctx), errStopping):
		g.sendRefusal(j, g.stoppingRefusal(j, g.shutdown.Load()))
	case j.mayHaveRun == 0:
		g.sendRefusal(j, notRun("not_run", "no upstream took the request", g.policy.Load().Admission.Outlier.BaseEjection))
	case ctx.Err() != nil:
		// It takes at least as long as it went on.
		j.service.recordDuration(j.route.Name, time.Since(j.arrived))
		g.sendRefusal(j, &refusal{status: http.StatusGatewayTimeout, code: "timeout", message: "the request ran out of time"})
	default:
		g.sendRefusal(j, unknownOutcome("upstream_failed", "the upstream broke off; the request may have run"))
	}
}

// concludeNotAdmitted ends a request that was not admitted to any upstream.
func (g *Gateway) concludeNotAdmitted(j *job, last result, d admission.Decision) {
	refused := notRun(string(d.Reason), refusalMessage(d.Reason), d.RetryAfter)
	if j.mayHaveRun > 0 && !j.response.started {
		refused = unknownOutcome("upstream_failed", "the upstream broke off and no other is free")
	}
	refused.decision = &d
	g.concludeRefused(j, last, refused)
}

// concludeRefused ends a request that is not sent again. If the last attempt left a
// buffered response of the upstream, the caller gets that response instead of the
// refusal.
func (g *Gateway) concludeRefused(j *job, last result, refused *refusal) {
	switch {
	case j.response.started:
		g.breakOff(j, refused.code)
	case last.response != nil:
		g.log.Info("failure passed on", append(g.decisionFields(j, refused.decision), zap.String("request", j.in.ID), zap.String("code", refused.code))...)
		last.response.send(j.response)
	default:
		g.sendRefusal(j, refused)
	}
}

// breakOff closes the caller's connection before the response is complete. What was
// received for the caller is sent first.
func (g *Gateway) breakOff(j *job, code string) {
	fields := []zap.Field{zap.String("request", j.in.ID), zap.String("route", j.route.Name), zap.String("upstream", string(j.upstream.ID)),
		zap.Int("attempts", j.attempts), zap.Duration("elapsed", time.Since(j.arrived))}
	if aborted := j.response.slowCallerAbort(); aborted != nil {
		code = codeSlowCaller
		fields = append(fields, slowCallerFields(aborted)...)
	}
	_ = j.response.awaitSent() // The connection is closed in any case.
	requestCounts.Add(j.route.Kind.String()+"/"+code, 1)
	g.log.Warn("answer broken off", append(fields, zap.String("code", code))...)
	j.response.abort()
}

func (g *Gateway) sendRefusal(j *job, r *refusal) {
	j.response.writeRefusal(r)
	g.logRefusal(j, r, j.arrived)
}

// attempt sends the request to one upstream and relays the response.
func (g *Gateway) attempt(ctx context.Context, j *job, d admission.Decision) result {
	ctx, span := telemetry.StartSpan(ctx, "gateway.attempt", attribute.String("upstream", string(d.Upstream.ID)))
	defer span.End()
	id := j.attemptID()
	if callerDisconnected(ctx) {
		j.service.cancelAttempt(id)
		return result{kind: callerLeftEarly, err: context.Cause(ctx)}
	}
	markRequestDecided(ctx)
	sendCtx, untrack := g.suspects.parts.track(ctx, j)
	defer untrack()
	j.sentAt = time.Now()
	j.answerBegun.Store(false)
	message := g.upstreamMessage(j, d)
	message.ShouldSend = func() bool {
		return !callerDisconnected(ctx) && !g.isEvacuated(d.Upstream.Domain) && !g.suspects.parts.blocks(j) && j.service.maySend(d.Upstream)
	}
	x, err := g.pool(d.Upstream).Do(sendCtx, message)
	if errors.Is(err, upstream.ErrWithdrawn) {
		return g.classifyWithdrawn(ctx, j, id, err)
	}
	if err != nil && errors.Is(context.Cause(sendCtx), errPartBlamed) {
		return g.classifyBlamed(j, id, err)
	}
	if err != nil {
		return g.classifyError(ctx, j, id, err)
	}
	defer x.Close()
	return g.relay(sendCtx, j, id, x)
}

func (g *Gateway) upstreamMessage(j *job, d admission.Decision) *upstream.Request {
	out := exchange.Outbound{
		Upstream: d.Upstream.ID, Team: j.team, Deadline: time.Until(g.attemptDeadline(j)), ResumeAfter: j.resumeAfter(),
		CopyFrom: d.CopyFrom,
	}
	return &upstream.Request{
		Method: j.method, URI: j.in.URI, Host: j.in.Host, Body: j.body,
		Header: g.options.Dialect.RequestHeader(j.in, out),
		Attribute: func(status int, header http.Header) exchange.Attribution {
			g.observeHead(j, d.Upstream, status, header)
			return g.options.Dialect.AttributeResponse(j.in, status, header)
		},
	}
}

func (g *Gateway) logDecision(j *job, message string, d admission.Decision) {
	fields := []zap.Field{zap.String("request", j.in.ID), zap.Int64("configuration", j.version), zap.String("upstream", string(d.Upstream.ID)),
		zap.Int64("started_ms", d.Upstream.StartedUnixMs), zap.Int("prefill", d.Prefill), zap.String("copy_from", d.CopyFrom)}
	g.log.Info(message, append(fields, g.decisionFields(j, &d)...)...)
}

// decisionFields returns log fields with the inputs of an admission decision; nil if d
// is nil.
func (g *Gateway) decisionFields(j *job, d *admission.Decision) []zap.Field {
	if d == nil {
		return nil
	}
	fields := append(g.decisionRevisions(),
		zap.String("route", j.route.Name), zap.String("team", string(j.team)),
		zap.Int("routers", g.routerCount()), zap.Int("attempt", j.attempts), zap.String("reason", string(d.Reason)),
		zap.Duration("predicted", d.Predicted), zap.Float64("speed_factor", d.SpeedFactor), zap.Float64("share_ratio", d.ShareRatio),
	)
	fields = append(fields, coldFields(d)...)
	return append(fields, j.home.logFields()...)
}

func (g *Gateway) logResult(j *job, d admission.Decision, r result) {
	fields := []zap.Field{zap.String("request", j.in.ID), zap.String("upstream", string(d.Upstream.ID)),
		zap.Stringer("result", r.kind), zap.Int("status", r.status), zap.Duration("first", r.firstEvent),
		zap.Duration("elapsed", time.Since(j.arrived)), zap.Error(r.err)}
	if r.kind == broken {
		fields = append(fields, zap.String("digest", j.digest()), zap.Strings("prompt_parts", j.sharedPartNames()))
	}
	g.log.Info("attempt ended", append(fields, r.stream.logFields()...)...)
}

// routerCount returns the number of connected routers, including this one.
func (g *Gateway) routerCount() int { return 1 + g.peers.connectedCount() }
