package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// observeLimit applies the limit that a response of the job's upstream names, and tells the
// other routers when it changes. A response to a request that did not run shows no end of a
// limit, as not all of them need to name it. A malformed limit changes nothing.
func (g *Gateway) observeLimit(j *job, status int, header http.Header) {
	outcome := g.options.Dialect.ClassifyResponse(status, header)
	if outcome == exchange.Invalid || status == http.StatusMisdirectedRequest {
		return
	}
	limit := j.selfReport.Limit
	if limit.Malformed || !limit.Named && outcome == exchange.NotRun {
		return
	}
	changed, ok := j.service.observeLimit(j.upstream, j.sentAt, limit)
	if !ok {
		return
	}
	g.logLimit(j.service.id, changed, sourceOwn, zap.String("request", j.in.ID))
	g.peers.broadcast(func() *peerpb.Envelope {
		return limitEnvelope(map[fleet.ServiceID][]warmup.NamedLimit{j.service.id: {changed}})
	})
}

func (g *Gateway) logLimit(service fleet.ServiceID, l warmup.NamedLimit, source string, fields ...zap.Field) {
	g.log.Info("limit of an upstream", append(fields, zap.String("service", string(service)), zap.String("upstream", string(l.Upstream.ID)),
		zap.Bool("named", !l.Ended), zap.Float64("rate", l.Rate), zap.Uint64("version", l.Version), zap.String("source", source))...)
	limitCounts.Add(string(service), 1)
}

// observeLimit records what a response of an upstream names to a request that was sent at a
// time. It returns the limit if that changed it.
func (s *service) observeLimit(u registry.Upstream, sent time.Time, limit exchange.RequestLimit) (warmup.NamedLimit, bool) {
	var rate *float64
	if limit.Named {
		rate = &limit.Rate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ObserveLimit(time.Now(), sent, u.ID, rate)
}

func (s *service) mergeLimit(l warmup.NamedLimit) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.MergeLimit(time.Now(), l)
}

func (s *service) namedLimits() []warmup.NamedLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.NamedLimits()
}

// applyLimits applies the limits that another router has heard of.
func (g *Gateway) applyLimits(from fleet.NodeID, m *peerpb.LimitUpdate) {
	for _, wire := range m.GetLimits() {
		s := g.service(fleet.ServiceID(wire.GetService()))
		if s == nil || wire.GetUpstream() == "" || !(wire.GetRate() >= 0) {
			continue
		}
		l := warmup.NamedLimit{
			Upstream: warmup.Upstream{ID: fleet.UpstreamID(wire.GetUpstream()), StartedUnixMs: wire.GetStartedUnixMs()},
			Rate:     wire.GetRate(), Ended: wire.GetEnded(), Version: wire.GetVersion(),
		}
		if s.mergeLimit(l) {
			g.logLimit(s.id, l, string(from))
		}
	}
}

// sendLimits sends all limits over a new session.
func (g *Gateway) sendLimits(s *peer.Session) {
	limits := make(map[fleet.ServiceID][]warmup.NamedLimit)
	for _, service := range g.allServices() {
		if named := service.namedLimits(); len(named) > 0 {
			limits[service.id] = named
		}
	}
	if len(limits) > 0 {
		s.Send(limitEnvelope(limits))
	}
}

func limitEnvelope(limits map[fleet.ServiceID][]warmup.NamedLimit) *peerpb.Envelope {
	update := &peerpb.LimitUpdate{}
	for service, list := range limits {
		for _, l := range list {
			update.Limits = append(update.Limits, &peerpb.UpstreamLimit{
				Service: string(service), Upstream: string(l.Upstream.ID), StartedUnixMs: l.Upstream.StartedUnixMs,
				Rate: l.Rate, Ended: l.Ended, Version: l.Version,
			})
		}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Limits{Limits: update}}
}

// countOverLimit counts the upstreams that were passed over because of the limits that they
// name.
func (s *service) countOverLimit(d admission.Decision) {
	if d.OverLimit > 0 {
		overLimitCounts.Add(string(s.id), int64(d.OverLimit))
	}
}
