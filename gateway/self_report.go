package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// leavingCheckInterval is how often a registered upstream is asked whether it serves, if it
	// can't be told whether this incarnation has said that it leaves.
	leavingCheckInterval = 5 * time.Second
	// leavingPollInterval is the polling interval of the checks that are due.
	leavingPollInterval = time.Second
)

// HealthChecker asks upstreams whether they serve.
type HealthChecker interface {
	// CheckHealth returns nil if the upstream is healthy and does not leave.
	CheckHealth(ctx context.Context, u registry.Upstream, path string) error
}

// observeHead records what an upstream says of itself in the head of any response that arrives
// while a request waits, also one that belongs to no request. A response that names another
// incarnation says nothing of this one.
func (g *Gateway) observeHead(j *job, u registry.Upstream, status int, header http.Header) {
	report, err := g.options.Dialect.SelfReport(status, header)
	j.selfReport = report
	if status == http.StatusMisdirectedRequest {
		return
	}
	if err != nil {
		g.logMalformedReport(j, u, err)
	}
	g.observeReport(j.service, u, j.sentAt, report, j.in.ID)
}

// observeReport applies what an upstream says of itself in a response to a request that was sent
// at a time.
func (g *Gateway) observeReport(s *service, u registry.Upstream, sent time.Time, report exchange.SelfReport, request string) {
	change := s.observeReport(u, sent, report)
	if change.Leaving {
		leavingCounts.Add(string(s.id), 1)
		g.logReport("upstream leaves", s, u, zap.String("request", request))
	}
	if change.Paused {
		pauseCounts.Add(string(s.id), 1)
		g.logReport("upstream paused", s, u, zap.String("request", request), zap.Duration("pause", report.Pause))
	}
}

func (g *Gateway) logReport(message string, s *service, u registry.Upstream, fields ...zap.Field) {
	g.log.Info(message, append(fields, zap.String("service", string(s.id)), zap.String("upstream", string(u.ID)),
		zap.Int64("started_ms", u.StartedUnixMs))...)
}

// logMalformedReport logs once for each incarnation of an upstream what of its reports is
// malformed.
func (g *Gateway) logMalformedReport(j *job, u registry.Upstream, err error) {
	if _, logged := g.malformedReports.LoadOrStore(keyOf(u), true); logged {
		return
	}
	g.log.Warn("report of an upstream not readable", zap.String("request", j.in.ID), zap.String("service", string(u.Service)),
		zap.String("upstream", string(u.ID)), zap.Error(err))
}

func (s *service) observeReport(u registry.Upstream, sent time.Time, report exchange.SelfReport) admission.ReportChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ObserveReport(time.Now(), sent, u, report)
}

// logEndedReports logs what upstreams said of themselves that no longer keeps requests from them.
// The caller holds mu.
func (s *service) logEndedReports() {
	for _, e := range s.scheduler.TakeEndedReports() {
		s.log.Info("report of an upstream ended", zap.String("service", string(s.id)), zap.String("upstream", string(e.Upstream.ID)),
			zap.String("said", string(e.Said)), zap.String("cause", string(e.Cause)), zap.Duration("age", time.Since(e.HeardAt)),
			zap.Int64("started_ms", e.Upstream.StartedUnixMs), zap.Int64("registered_started_ms", e.RegisteredStartUnixMs))
	}
}

// maySend reports whether a request that was admitted to an upstream may still be sent there.
func (s *service) maySend(u registry.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MaySend(time.Now(), u.ID)
}

func (s *service) takeLeavingChecks(now time.Time) []registry.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.TakeLeavingChecks(now, leavingCheckInterval)
}

func (s *service) markServing(asked time.Time, u registry.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MarkServing(asked, u)
}

// countPaused counts the paused upstreams that were passed over in an admission decision.
func (s *service) countPaused(d admission.Decision) {
	if d.Paused > 0 {
		pausedPassedOverCounts.Add(string(s.id), int64(d.Paused))
	}
}

// checkLeaving asks upstreams of which it can't be told whether they have said that they leave
// whether they serve, until ctx is canceled.
func (g *Gateway) checkLeaving(ctx context.Context) {
	for ctx.Err() == nil {
		node.Pause(ctx, leavingPollInterval)
		for _, s := range g.allServices() {
			for _, u := range s.takeLeavingChecks(time.Now()) {
				g.checkHealth(ctx, s, u)
			}
		}
	}
}

// checkHealth asks an upstream whether it serves.
func (g *Gateway) checkHealth(ctx context.Context, s *service, u registry.Upstream) {
	service := g.table.Load().Service(s.id)
	if service == nil || service.HealthPath == "" {
		return
	}
	asked := time.Now()
	if err := g.options.Health.CheckHealth(ctx, u, service.HealthPath); err != nil {
		g.log.Debug("upstream still leaves", zap.String("upstream", string(u.ID)), zap.Error(err))
		return
	}
	if s.markServing(asked, u) {
		g.logReport("upstream serves after all", s, u)
	}
}
