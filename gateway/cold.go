package gateway

import (
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// fleetSettleTime is how long this router waits at most, once it knows the registered
// routers, before it sends to cold upstreams. By then every router in contact with the store
// has listed this one and stopped sending in its place.
const fleetSettleTime = membersInterval + 2*time.Second

func newWarmupMembers(o *Options) *warmup.Members {
	return warmup.NewMembers(warmup.MembersOptions{
		Self: o.ID, Domain: o.Location.FailureDomain, TTL: o.Policy.MemberTTL, Settle: fleetSettleTime,
	})
}

// registration returns this router's registration.
func (g *Gateway) registration() registry.Router {
	return registry.Router{PeerAddress: g.options.PeerAddress, Domain: g.options.Location.FailureDomain}
}

func peerAddresses(routers map[fleet.NodeID]registry.Router) map[fleet.NodeID]string {
	out := make(map[fleet.NodeID]string, len(routers))
	for id, r := range routers {
		out[id] = r.PeerAddress
	}
	return out
}

// updateFleet passes the current members to the services.
func (g *Gateway) updateFleet() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet = g.peers.currentFleet()
	for _, s := range g.services {
		s.setFleet(g.fleet)
	}
}

// currentFleet returns the routers from which the senders to cold upstreams are chosen.
func (p *peers) currentFleet() *warmup.Fleet {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.warmupMembers.Fleet(p.gateway.policy.Load().Admission.Regions)
}

func (s *service) setFleet(f *warmup.Fleet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFleet(f)
}

// markRegisteredCold begins cold periods that follow from the registrations. The caller
// holds mu.
func (s *service) markRegisteredCold() {
	s.scheduler.MarkRegisteredCold(time.Now())
	s.logColdPeriods()
}

// markReportedCold begins the cold period that a response of the job's upstream states, if
// it states one.
func (g *Gateway) markReportedCold(j *job, status int, header http.Header) {
	remaining := j.selfReport.ColdRemaining
	if remaining <= 0 || status == http.StatusMisdirectedRequest {
		return
	}
	if g.options.Dialect.ClassifyResponse(status, header) != exchange.Invalid {
		j.service.markReportedCold(j.upstream.ID, remaining)
	}
}

func (s *service) markReportedCold(id fleet.UpstreamID, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.MarkReportedCold(time.Now(), id, remaining)
	s.logColdPeriods()
}

// logColdPeriods logs the upstreams that have become cold. The caller holds mu.
func (s *service) logColdPeriods() {
	for _, period := range s.scheduler.TakeColdPeriods() {
		s.log.Info("upstream cold", zap.String("service", string(s.id)), zap.String("upstream", string(period.Upstream.ID)),
			zap.String("cause", string(period.Cause)), zap.Duration("remaining", time.Until(period.Until)),
			zap.Int64("started_ms", period.Upstream.StartedUnixMs), zap.Bool("sender", period.Sender))
	}
}

// countCold counts the part of cold upstreams in an admission decision.
func (s *service) countCold(d admission.Decision) {
	if d.Cold {
		coldSendCounts.Add(string(s.id), 1)
	}
	if d.PassedOver > 0 {
		coldPassedOverCounts.Add(string(s.id), int64(d.PassedOver))
	}
}

// coldFields returns log fields for decisions in which cold, limited or paused upstreams took part.
func coldFields(d *admission.Decision) []zap.Field {
	if !d.Cold && d.PassedOver == 0 && d.OverLimit == 0 && d.Paused == 0 {
		return nil
	}
	return []zap.Field{zap.Bool("cold", d.Cold), zap.Int("cold_passed_over", d.PassedOver), zap.Int("over_limit", d.OverLimit),
		zap.Int("paused", d.Paused)}
}

// coldRemainingToWire encodes a cold time in milliseconds, rounded up.
func coldRemainingToWire(d time.Duration) uint32 {
	ms := math.Ceil(float64(d) / float64(time.Millisecond))
	return uint32(min(max(ms, 0), math.MaxUint32))
}
