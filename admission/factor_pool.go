package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// factorRefreshInterval is the interval at which the factors of all routers are
	// pooled. Decisions in between use the last result.
	factorRefreshInterval = 500 * time.Millisecond
	// meanSmoothing is the part of the way by which each refresh moves the mean of the
	// factors.
	meanSmoothing = 0.2
	// maxReportedFactors is the number of factors in one full report, at most 26 bytes
	// each. Successive reports go through all engines in turn.
	maxReportedFactors = 16
)

// factorPool holds the engine factors that the other routers reported.
type factorPool struct {
	byRouter map[fleet.NodeID]*routerFactors
	// refreshedAt is the time at which the factors were last pooled.
	refreshedAt time.Time
	// mean is the mean logarithm of the engines' pooled factors, smoothed over refreshes.
	// Factors are used relative to it. Otherwise an error common to all factors and the
	// inverse error of the rate would cancel out in each prediction and could grow.
	mean float64
	// weighted is set if the placement weights of the engines differ.
	weighted bool
	// own and domain are the positions in the rotation of this router's reports and of
	// those on its failure domain.
	own, domain factorRotation
}

// routerFactors is what one other router, or one failure domain, reported. Its reports
// list some of its factors each.
type routerFactors struct {
	at      time.Time
	factors map[*upstream]EngineFactor
}

func newFactorPool() factorPool {
	return factorPool{byRouter: make(map[fleet.NodeID]*routerFactors)}
}

// setPeerFactors records the factors in another router's full report.
func (s *Scheduler) setPeerFactors(now time.Time, node fleet.NodeID, reported map[fleet.UpstreamID]EngineFactor) {
	peer := s.factors.byRouter[node]
	if peer == nil {
		peer = &routerFactors{factors: make(map[*upstream]EngineFactor, len(reported))}
		s.factors.byRouter[node] = peer
	}
	peer.at = now
	for id, factor := range reported {
		if u := s.upstreams[id]; u != nil {
			peer.set(u, factor)
		}
	}
}

// set replaces the factor of an engine. A factor without weight removes it.
func (f *routerFactors) set(u *upstream, reported EngineFactor) {
	if factor, ok := reported.bounded(); ok {
		f.factors[u] = factor
		return
	}
	delete(f.factors, u)
}

// refreshFactors pools the factors of all routers if the last result is older than
// factorRefreshInterval.
func (s *Scheduler) refreshFactors(now time.Time) {
	age := now.Sub(s.factors.refreshedAt)
	if s.capacity.MemoryTokens == 0 || age >= 0 && age < factorRefreshInterval {
		return
	}
	s.factors.refreshedAt = now
	for _, u := range s.upstreams {
		u.pooledFactor = u.ownFactor.EngineFactor
	}
	// The routers are taken in order, so that rounding is the same in each run.
	for _, node := range slices.Sorted(maps.Keys(s.factors.byRouter)) {
		s.poolFactors(now, s.factors.byRouter[node])
	}
	s.applyFactors()
}

// poolFactors adds the factors of one other router to the pooled ones, unless its last
// report has expired. It drops those of engines that are no longer registered.
func (s *Scheduler) poolFactors(now time.Time, peer *routerFactors) {
	expired := now.Sub(peer.at) >= s.options.PeerTTL
	for u, factor := range peer.factors {
		if s.upstreams[u.ID] != u {
			delete(peer.factors, u)
			continue
		}
		if !expired {
			u.pooledFactor = u.pooledFactor.plus(factor)
		}
	}
}

// observeFactor updates an engine's factor with the time to first token of an attempt. The
// progress of the work ahead of it is known late, so an observation counts by its own part of
// the work.
func (s *Scheduler) observeFactor(now time.Time, a *attempt, took time.Duration) {
	sample, ok := s.model.logFactor(a.workAhead, took)
	if !ok || a.prefill <= 0 {
		return
	}
	a.upstream.ownFactor.observe(now, sample, float64(a.prefill)/a.workAhead)
}

// refreshMean moves the mean towards that of the pooled factors. It does so in several
// refreshes, because the estimate of the rate follows only with new observations.
func (s *Scheduler) refreshMean() {
	sum, confidence := 0.0, 0.0
	for _, id := range s.ids {
		factor := s.upstreams[id].pooledFactor
		sum += factor.confidence() * factor.Log
		confidence += factor.confidence()
	}
	if confidence > 0 {
		s.factors.mean += meanSmoothing * (sum/confidence - s.factors.mean)
	}
}

// applyFactors derives the engines' factors and placement weights from the pooled factors.
func (s *Scheduler) applyFactors() {
	s.refreshMean()
	s.factors.weighted = false
	for _, u := range s.upstreams {
		log := u.pooledFactor.relativeTo(s.factors.mean)
		u.factor = math.Exp(log)
		u.weight.update(log, u.pooledFactor.Weight)
		s.factors.weighted = s.factors.weighted || u.weight.step != 0
	}
}

// speedOf returns the estimated speed of one engine.
func (s *Scheduler) speedOf(u *upstream) EngineSpeed { return s.speed().scaledBy(u.factor) }

// fastestFactor returns the highest factor of the candidates.
func fastestFactor(candidates []candidate) float64 {
	fastest := 0.0
	for i := range candidates {
		fastest = max(fastest, candidates[i].upstream.factor)
	}
	return fastest
}

// slowness returns how much longer than the fastest candidate a candidate takes to prefill
// the request itself. It is zero for plain services.
func (s *Scheduler) slowness(c *candidate, b bounds) time.Duration {
	if s.capacity.MemoryTokens == 0 {
		return 0
	}
	prefill := float64(c.prefill)
	return s.speedOf(c.upstream).prefillTime(prefill) - s.speed().scaledBy(b.fastest).prefillTime(prefill)
}

// tooSlow reports whether a candidate exceeds the limit without any queueing, only because
// it is slower than the fastest candidate.
func (s *Scheduler) tooSlow(c *candidate, b bounds) bool {
	alone := c.predicted - s.queueTime(c)
	return alone > b.limit && alone-s.slowness(c, b) <= b.limit
}

// ownFactors returns the next of this router's own factors in the rotation.
func (s *Scheduler) ownFactors() map[fleet.UpstreamID]EngineFactor {
	return s.factors.own.next(s, func(u *upstream) EngineFactor { return u.ownFactor.EngineFactor })
}

// domainFactors returns the next factors in the rotation, combined over this router and
// the given members of its failure domain.
func (s *Scheduler) domainFactors(now time.Time, members []fleet.NodeID) map[fleet.UpstreamID]EngineFactor {
	return s.factors.domain.next(s, func(u *upstream) EngineFactor {
		sum := u.ownFactor.EngineFactor
		for _, member := range members {
			peer := s.factors.byRouter[member]
			if peer != nil && now.Sub(peer.at) < s.options.PeerTTL {
				sum = sum.plus(peer.factors[u])
			}
		}
		return sum
	})
}

// factorRotation selects the engines whose factors are reported next.
type factorRotation struct{ last fleet.UpstreamID }

// next returns up to maxReportedFactors factors of the engines that follow the last
// reported one by identifier. It passes over engines without observations, except for those
// that started anew: the other routers may still hold the earlier engine's factor.
func (r *factorRotation) next(s *Scheduler, factor func(*upstream) EngineFactor) map[fleet.UpstreamID]EngineFactor {
	if s.capacity.MemoryTokens == 0 {
		return nil
	}
	begin, found := slices.BinarySearch(s.ids, r.last)
	if found {
		begin++
	}
	out := make(map[fleet.UpstreamID]EngineFactor, maxReportedFactors)
	for i := range s.ids {
		if len(out) == maxReportedFactors {
			break
		}
		id := s.ids[(begin+i)%len(s.ids)]
		u := s.upstreams[id]
		if f := factor(u); f.Weight > 0 || u.startedAnew {
			out[id] = f
			r.last = id
		}
	}
	return out
}
