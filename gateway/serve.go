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
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/telemetry"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// serve sends a request to upstreams until it has its final answer.
func (g *Gateway) serve(ctx context.Context, j *job) {
	ctx, span := telemetry.StartSpan(ctx, "gateway.request", attribute.String("request", j.in.ID))
	defer span.End()
	id, ok := j.route.SelectService(j.in.ID)
	if ok {
		j.service = g.service(id)
	}
	if j.service == nil {
		g.finish(j, notRun("no_service", "the route has no service", g.options.StoreRetry))
		return
	}
	if callerLeft(ctx) {
		// It waited unread for longer than its caller did.
		g.breakOff(j, "caller_left_early")
		return
	}
	j.service.request()
	var last result
	for {
		if refused := g.suspects.refusal(j); refused != nil {
			g.concludeRefused(j, last, refused)
			return
		}
		j.attempts++
		decision := j.service.admit(j.admission())
		if !decision.Admitted {
			g.finishRefused(j, last, decision)
			return
		}
		if j.owesRetry() && !g.takeRetry(j, last) {
			j.service.cancel(j.attemptID())
			g.conclude(ctx, j, last)
			return
		}
		g.logDecision(j, "request sent", decision)
		j.upstream = decision.Upstream
		last = g.attempt(ctx, j, decision)
		j.note(last)
		j.countAttempt(decision, last)
		g.logResult(j, decision, last)
		if !g.again(ctx, j, last) {
			g.conclude(ctx, j, last)
			return
		}
	}
}

// note takes the end of an attempt.
func (j *job) note(r result) {
	j.tried = append(j.tried, j.upstream.ID)
	j.began = j.began || r.began(j.route.Generative)
	if r.reached() {
		j.reached++
	}
	if r.mayHaveRun() {
		j.ran++
	}
}

func (j *job) countAttempt(d admission.Decision, r result) {
	attemptCounts.Add(fmt.Sprintf("%d/%s", j.attempts, r.kind), 1)
	upstreamCounts.Add(fmt.Sprintf("%s/%s", d.Upstream.ID, r.kind), 1)
	if r.first > 0 && j.route.Generative && j.attempts == 1 {
		predictionError.record(r.first - d.Predicted)
	}
}

func (j *job) countComplete(r result) {
	outcome := "late"
	if j.route.Objective <= 0 || r.first <= j.route.Objective {
		outcome = "on_time"
	}
	requestCounts.Add(j.route.Kind.String()+"/"+outcome, 1)
	firstEventTime.record(r.first)
	totalTime.record(time.Since(j.arrived))
}

func (j *job) attemptID() string { return fmt.Sprintf("%s/%d", j.in.ID, j.attempts) }

func (j *job) admission() admission.Request {
	request := admission.Request{
		ID: j.attemptID(), Team: j.team, Prompt: j.in.Prompt, OutputTokens: j.in.OutputTokens,
		Objective: j.objective(), Elapsed: time.Since(j.arrived), Waited: j.waited, Exclude: j.tried,
		AlreadyCharged: j.began,
	}
	if j.attempts > 1 {
		// An upstream has worked on it already: late is better than never.
		request.Elapsed = 0
	}
	return request
}

// objective is the time in which the answer is to come.
func (j *job) objective() time.Duration {
	if j.route.Objective > 0 {
		return j.route.Objective
	}
	return time.Until(j.expires)
}

// again decides whether an attempt is followed by another one.
func (g *Gateway) again(ctx context.Context, j *job, last result) bool {
	if ctx.Err() != nil || last.kind == complete || last.kind.callerGone() {
		return false
	}
	if last.kind == notSent {
		// Nothing arrived anywhere: no budget is spent.
		return len(j.tried) < maxUnsent
	}
	if j.ran >= j.route.MaxAttempts && last.mayHaveRun() {
		return false
	}
	if last.mayHaveRun() && !j.route.Repeatable() {
		return false
	}
	return !j.owesRetry() || g.retryAllowed(j, last)
}

// maxUnsent bounds the upstreams that are tried for one request.
const maxUnsent = 4

// conclude answers with the last attempt's result.
func (g *Gateway) conclude(ctx context.Context, j *job, last result) {
	switch {
	case last.kind == complete:
		j.countComplete(last)
	case last.kind == callerLeftEarly && !errors.Is(last.err, errDeadline):
		g.breakOff(j, "caller_left_early")
	case last.kind == callerGone && !errors.Is(last.err, errDeadline) || ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		g.breakOff(j, "caller_gone")
	case j.answer.started:
		g.breakOff(j, "upstream_failed")
	case last.held != nil:
		last.held.send(j.answer)
	case j.ran == 0:
		g.finish(j, notRun("not_run", "no upstream took the request", g.policy.Load().Admission.Outlier.BaseEjection))
	case ctx.Err() != nil:
		g.finish(j, &refusal{status: http.StatusGatewayTimeout, code: "timeout", message: "the request ran out of time"})
	default:
		g.finish(j, unknownOutcome("upstream_failed", "the upstream broke off; the request may have run"))
	}
}

// finishRefused answers a request for which no upstream was found.
func (g *Gateway) finishRefused(j *job, last result, d admission.Decision) {
	refused := notRun(string(d.Reason), "no upstream would answer on time", d.RetryAfter)
	if j.ran > 0 && !j.answer.started {
		refused = unknownOutcome("upstream_failed", "the upstream broke off and no other is free")
	}
	refused.decision = &d
	g.concludeRefused(j, last, refused)
}

// concludeRefused ends a request that is not sent again.
func (g *Gateway) concludeRefused(j *job, last result, refused *refusal) {
	switch {
	case j.answer.started:
		g.breakOff(j, refused.code)
	case last.held != nil:
		g.log.Info("failure passed on", append(g.decisionFields(j, refused.decision), zap.String("request", j.in.ID), zap.String("code", refused.code))...)
		last.held.send(j.answer)
	default:
		g.finish(j, refused)
	}
}

// breakOff closes the caller's connection without the end of its answer.
func (g *Gateway) breakOff(j *job, code string) {
	requestCounts.Add(j.route.Kind.String()+"/"+code, 1)
	g.log.Warn("answer broken off", zap.String("request", j.in.ID), zap.String("route", j.route.Name), zap.String("code", code),
		zap.Int("attempts", j.attempts), zap.Duration("elapsed", time.Since(j.arrived)))
	j.answer.abort()
}

func (g *Gateway) finish(j *job, r *refusal) {
	j.answer.refuse(r)
	g.logRefusal(j, r, j.arrived)
}

// attempt sends the request to one upstream and relays its answer.
func (g *Gateway) attempt(ctx context.Context, j *job, d admission.Decision) result {
	ctx, span := telemetry.StartSpan(ctx, "gateway.attempt", attribute.String("upstream", string(d.Upstream.ID)))
	defer span.End()
	id := j.attemptID()
	if callerLeft(ctx) {
		j.service.cancel(id)
		return result{kind: callerLeftEarly, err: context.Cause(ctx)}
	}
	decided(ctx)
	sent := time.Now()
	message := g.message(j, d)
	message.ShouldSend = func() bool { return !callerLeft(ctx) }
	x, err := g.pool(d.Upstream).Do(ctx, message)
	if errors.Is(err, upstream.ErrWithdrawn) {
		return g.withdrawn(ctx, j, id, err)
	}
	if err != nil {
		return g.failed(ctx, j, id, sent, err)
	}
	defer x.Close()
	return g.relay(ctx, j, id, x)
}

func (g *Gateway) message(j *job, d admission.Decision) *upstream.Request {
	out := exchange.Outbound{
		Upstream: d.Upstream.ID, Team: j.team, Deadline: time.Until(j.expires), ResumeAfter: j.resumeAfter(),
		CopyFrom: d.CopyFrom,
	}
	return &upstream.Request{
		Method: j.method, URI: j.in.URI, Host: j.in.Host, Body: j.body,
		Header: g.options.Dialect.Outbound(j.in, out),
		Matches: func(status int, header http.Header) bool {
			return g.options.Dialect.Answers(j.in, status, header)
		},
	}
}

// withdrawn judges an attempt of which nothing was sent, as its caller or the
// upstream had left by the time there was a connection.
func (g *Gateway) withdrawn(ctx context.Context, j *job, id string, err error) result {
	j.service.cancel(id)
	if callerLeft(ctx) {
		return result{kind: callerLeftEarly, err: context.Cause(ctx)}
	}
	return result{kind: notSent, err: err}
}

// failed judges an attempt without an answer.
func (g *Gateway) failed(ctx context.Context, j *job, id string, sent time.Time, err error) result {
	if ctx.Err() != nil {
		g.abandoned(j, id, sent)
		kind := broken
		if errors.Is(err, upstream.ErrNotSent) {
			kind = notSent
		}
		return result{kind: kind, err: err}
	}
	if errors.Is(err, upstream.ErrNotSent) {
		g.ended(j, id, outlier.Unreachable)
		return result{kind: notSent, err: err}
	}
	g.ended(j, id, outlier.Broken)
	return result{kind: broken, err: err}
}

// hangObjectives is how many objectives without an answer tell that an upstream
// hangs.
const hangObjectives = 2

// abandoned takes the end of an attempt that the caller or the timeout ended. An
// upstream that had long been silent counts as failing: its registration and its
// health checks may be good all the while.
func (g *Gateway) abandoned(j *job, id string, sent time.Time) {
	if time.Since(sent) >= hangObjectives*j.objective() {
		g.ended(j, id, outlier.Broken)
		return
	}
	j.service.cancel(id)
}

// ended takes the outcome of an attempt.
func (g *Gateway) ended(j *job, id string, outcome outlier.Outcome) {
	ejected := j.service.end(id, outcome)
	g.suspects.ended(j, outcome)
	switch {
	case ejected:
		g.ejected(j.upstream, j.in.ID, "outcome", nil)
	case outcome == outlier.Broken:
		go g.check(j.service, j.upstream, j.in.ID)
	}
}

// ejected notes that an upstream was found to be failing by a request.
func (g *Gateway) ejected(u registry.Upstream, request, cause string, err error) {
	g.suspects.crashed(u)
	g.log.Warn("upstream ejected", zap.String("request", request), zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.ID)), zap.String("cause", cause), zap.Error(err))
}

// check finds out whether an upstream whose answer broke off takes connections: a
// single broken answer does not tell a crash from a lost answer.
func (g *Gateway) check(s *service, u registry.Upstream, request string) {
	key := keyOf(u)
	if _, running := g.checks.LoadOrStore(key, true); running {
		return
	}
	defer g.checks.Delete(key)
	ctx, cancel := context.WithTimeout(g.background, g.options.Pool.DialTimeout)
	defer cancel()
	err := g.pool(u).Check(ctx)
	if errors.Is(err, upstream.ErrNotSent) && s.unreachable(u.ID) {
		g.ejected(u, request, "check", err)
	}
}

func (g *Gateway) logDecision(j *job, message string, d admission.Decision) {
	fields := []zap.Field{zap.String("request", j.in.ID), zap.Int64("configuration", j.version), zap.String("upstream", string(d.Upstream.ID)),
		zap.Int("prefill", d.Prefill), zap.String("copy_from", d.CopyFrom)}
	g.log.Info(message, append(fields, g.decisionFields(j, &d)...)...)
}

// decisionFields returns what a decision was made from, nothing without one.
func (g *Gateway) decisionFields(j *job, d *admission.Decision) []zap.Field {
	if d == nil {
		return nil
	}
	return []zap.Field{
		zap.String("route", j.route.Name), zap.String("team", string(j.team)), zap.Uint64("registry", g.registryRevision()),
		zap.Int("routers", g.routers()), zap.Int("attempt", j.attempts), zap.String("reason", string(d.Reason)),
		zap.Duration("predicted", d.Predicted), zap.Float64("share_ratio", d.ShareRatio),
	}
}

func (g *Gateway) logResult(j *job, d admission.Decision, r result) {
	g.log.Info("attempt ended", zap.String("request", j.in.ID), zap.String("upstream", string(d.Upstream.ID)),
		zap.Stringer("result", r.kind), zap.Int("status", r.status), zap.Duration("first", r.first),
		zap.Duration("elapsed", time.Since(j.arrived)), zap.Error(r.err))
}

// routers returns the number of connected routers, this one included.
func (g *Gateway) routers() int { return 1 + g.peers.count() }
