package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/shutdown"
)

const (
	// abortMargin is how long before the end of the grace period remaining connections are
	// closed, so that callers see this process close their connections rather than its
	// exit.
	abortMargin = 300 * time.Millisecond
	// shutdownPollInterval is the polling interval of the conditions that end each
	// phase of a shutdown.
	shutdownPollInterval = 20 * time.Millisecond
)

// errStopping is the cancellation cause of a request that is ended because this process is
// about to end. It is also an errDeadline: the time that is left has run out.
var errStopping = eris.Wrap(errDeadline, "this router stops")

// codeStopping is the code of refusals by a router that stops.
const codeStopping = "stopping"

// stop reports unready, keeps serving while the load balancer still sends connections,
// and finishes the requests in flight.
func (g *Gateway) stop(callers *http.Server, connections *callerListener) {
	started := time.Now()
	end := started.Add(g.options.Grace - abortMargin)
	plan := shutdown.NewPlan(started, end, g.options.Withdrawal)
	g.log.Info("gateway stopping", zap.Int64("requests", g.inFlight.Load()), zap.Duration("answers_within", time.Until(plan.AnswerBy)))
	g.shutdown.Store(&plan)
	time.AfterFunc(time.Until(plan.AnswerBy), g.endRequests)
	g.draining.Store(true)
	notify(g.reportNow)
	g.peers.sessions.SendHeartbeats()
	node.Pause(context.Background(), min(g.options.Withdrawal, time.Until(plan.AnswerBy)))
	g.serveUntilReplaced(end)
	waitUntilRead(connections, time.Now().Add(time.Until(end)/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		g.log.Warn("connections cut at the end of the grace", zap.Error(err))
		if err := callers.Close(); err != nil && !errors.Is(err, http.ErrServerClosed) {
			g.log.Warn("connections not closed", zap.Error(err))
		}
	}
	g.log.Info("gateway stopped", zap.Duration("took", time.Since(started)))
}

// serveUntilReplaced keeps serving new requests while no other router accepts callers
// and earlier requests keep this process running anyway. Requests that may not finish
// before end are refused meanwhile.
func (g *Gateway) serveUntilReplaced(end time.Time) {
	g.servingDuringShutdown.Store(true)
	began := time.Now()
	for g.inFlight.Load() > 0 && !g.peers.othersServing() && time.Now().Before(end) {
		node.Pause(context.Background(), shutdownPollInterval)
	}
	g.log.Info("gateway closes to callers", zap.Duration("covered", time.Since(began)), zap.Int("routers", g.routerCount()))
}

// waitUntilRead waits until no connection has unread data, but not beyond end.
// http.Server.Shutdown treats a connection whose request it has not read as idle and
// closes it; a process that is short of CPU time has such connections.
func waitUntilRead(connections *callerListener, end time.Time) {
	for connections.unreadCount() > 0 && time.Now().Before(end) {
		node.Pause(context.Background(), shutdownPollInterval)
	}
}

// refuseDuringShutdown refuses an attempt that is not expected to be answered before this process
// ends. It returns nil if the request may be sent.
func (g *Gateway) refuseDuringShutdown(j *job) *refusal {
	plan := g.shutdown.Load()
	if plan == nil {
		return nil
	}
	r := shutdown.Request{Expires: j.expires, Usual: j.service.usualDuration(j.route.Name), Begun: j.response.started}
	if plan.Takes(time.Now(), r) {
		return nil
	}
	return g.stoppingRefusal(j, plan)
}

// attemptDeadline returns when an attempt ends at the latest.
func (g *Gateway) attemptDeadline(j *job) time.Time {
	if plan := g.shutdown.Load(); plan != nil {
		return plan.Deadline(j.expires)
	}
	return j.expires
}

// stoppingRefusal returns the refusal of a request that can't be served because this process
// stops.
func (g *Gateway) stoppingRefusal(j *job, plan *shutdown.Plan) *refusal {
	if j.mayHaveRun > 0 {
		return unknownOutcome(codeStopping, "this router is stopping; the request may have run")
	}
	return notRun(codeStopping, "this router is stopping", plan.RetryAfter(time.Now(), g.peers.othersServing()))
}

// requestContext returns the context of a request, which ends at its deadline and when this
// process has to answer its last requests.
func (g *Gateway) requestContext(parent context.Context, j *job) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancelCause(parent)
	release := context.AfterFunc(g.requestsEnd, func() { end(errStopping) })
	ctx, cancel := context.WithDeadlineCause(ctx, j.expires, errDeadline)
	return ctx, func() {
		release()
		cancel()
		end(nil)
	}
}

// maxTimedRoutes bounds the routes of a service whose durations are known.
const maxTimedRoutes = 1024

// recordDuration records how long a request took, or how long it went on without an end.
func (s *service) recordDuration(route string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.durations) >= maxTimedRoutes {
		clear(s.durations)
	}
	e := s.durations[route]
	e.Record(took)
	s.durations[route] = e
}

// usualDuration returns how long requests of a route usually take at most, zero if unknown.
func (s *service) usualDuration(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.durations[route]
	upper, _ := e.Upper()
	return upper
}
