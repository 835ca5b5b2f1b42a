package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// candidates returns the usable upstreams that a request may be sent to, with predictions.
func (s *Scheduler) candidates(now time.Time, r Request, usable []fleet.UpstreamID) []candidate {
	if s.capacity.MemoryTokens == 0 {
		return s.plainCandidates(now, usable)
	}
	return s.engineCandidates(now, r, usable)
}

// engineCandidates returns the preferred engines of a prompt and the engine with the
// largest cached part of it. A prompt that no engine has cached may also go to any engine with
// free cache memory, because it evicts nothing there. Engines that name a limit or are paused do
// not count as preferred ones: others keep the prompt too, as they have to take most of its
// requests.
func (s *Scheduler) engineCandidates(now time.Time, r Request, usable []fleet.UpstreamID) []candidate {
	order := s.preferredEngines(r.Prompt.SharedKey(), usable)
	preferred := placement.PreferredEngineCount(r.Prompt, s.options.Replicas, len(order))
	anywhere := preferred == len(order)
	source, sourceTokens := s.bestCacheHit(r, usable)
	out := make([]candidate, 0, len(order))
	rank := 0
	for _, id := range order {
		u := s.upstreams[id]
		hasRoom := source == nil && u.cache.HasRoom(r.Prompt)
		if rank >= preferred && u != source && !hasRoom {
			continue
		}
		c := s.engineCandidate(now, r, u)
		if !anywhere && source == nil {
			// All routers send an uncached prompt to the first engine in placement
			// order, so that it is cached once and later requests find it there.
			c.ranked = true
			c.cacheMiss = rank > 0 && !hasRoom
		}
		if !anywhere && source != nil && s.capacity.TransferRate == 0 {
			c.cacheMiss = c.cached < sourceTokens
		}
		s.planCopy(&c, r, source, sourceTokens)
		out = append(out, c)
		if !s.reduced(id) {
			rank++
		}
	}
	return out
}

// bestCacheHit returns the engine with the largest cached part of a prompt and the number
// of cached tokens. It returns nil if no engine has any of it. Where engines can't copy from
// each other, those that name a limit or are paused are left out, as few requests can be sent to
// them.
func (s *Scheduler) bestCacheHit(r Request, usable []fleet.UpstreamID) (*upstream, int) {
	var best *upstream
	most := 0
	for _, id := range usable {
		u := s.upstreams[id]
		if s.capacity.TransferRate == 0 && s.reduced(id) {
			continue
		}
		if cached := u.cache.CachedTokens(r.Prompt); cached > most {
			best, most = u, cached
		}
	}
	return best, most
}

// planCopy makes a candidate copy the cached tokens that it lacks from source instead of
// prefilling them, if there are at least minCopyTokens of them.
func (s *Scheduler) planCopy(c *candidate, r Request, source *upstream, sourceTokens int) {
	if source == nil || source == c.upstream || s.capacity.TransferRate == 0 {
		return
	}
	missing := sourceTokens - c.cached
	if missing < minCopyTokens {
		return
	}
	c.copyFrom = source.Address
	c.prefill = s.prefillWork(r.Prompt.Tokens()-sourceTokens, sourceTokens)
	c.copyTokens = missing
	c.copyDistance = s.distance(source, c.upstream)
	c.predicted = s.speedOf(c.upstream).predict(c.backlog+float64(c.prefill)) + s.transfers.predict(c.copyDistance, missing)
	c.cost = c.predicted + copyPenalty + s.remoteCost(c.upstream)
}

// prefillWork returns the prefill work of count tokens that follow cached ones, as the
// equivalent number of tokens at the start of a prompt. Prefilling a token takes longer
// the more tokens precede it, because it attends to all of them.
func (s *Scheduler) prefillWork(count, cached int) int {
	context := float64(cached) + float64(count)/2
	return int(float64(count) * (1 + context/s.options.AttentionTokens))
}

// copyPenalty is added to the cost of a copy: up to this much more waiting is preferred to
// copying.
const copyPenalty = 400 * time.Millisecond

// minCopyTokens is the minimum number of tokens worth copying.
const minCopyTokens = 1000

func (s *Scheduler) engineCandidate(now time.Time, r Request, u *upstream) candidate {
	speed := s.speedOf(u)
	backlog := u.backlog(now, speed.Rate)
	// The last, unshared part may be cached too if the session used this engine before.
	cached := u.cache.CachedTokens(r.Prompt)
	prefill := s.prefillWork(r.Prompt.Tokens()-cached, cached)
	total := u.total()
	own := r.Prompt.Tokens() - r.Prompt.SharedTokens() + r.OutputTokens
	c := candidate{
		upstream:  u,
		backlog:   backlog,
		prefill:   prefill,
		cached:    cached,
		predicted: speed.predict(backlog + float64(prefill)),
		full: float64(total.Running+1) > s.options.SlotLimit*float64(s.capacity.Slots) ||
			float64(total.Memory+own) > s.options.MemoryLimit*float64(s.capacity.MemoryTokens),
	}
	c.cost = c.predicted + s.remoteCost(u)
	return c
}

// remoteCost returns RemoteCost for upstreams outside the local region and zero otherwise.
func (s *Scheduler) remoteCost(u *upstream) time.Duration {
	if s.options.Regions[u.Domain] == s.options.Local.Region {
		return 0
	}
	return s.options.RemoteCost
}

// plainCandidates returns candidates for plain upstreams. Requests beyond an upstream's
// slots are predicted to queue. Failures add to the cost, so that healthy upstreams are
// preferred.
func (s *Scheduler) plainCandidates(now time.Time, usable []fleet.UpstreamID) []candidate {
	out := make([]candidate, 0, len(usable))
	for _, id := range usable {
		u := s.upstreams[id]
		running := u.total().Running
		slots := max(u.Slots, 1)
		queued := max(0, running+1-slots)
		expected := s.serviceTimeOf(now, u)
		predicted := expected + expected*time.Duration(queued)/time.Duration(slots)
		load := time.Duration(float64(expected) * float64(running) / float64(slots))
		failing := time.Duration(u.detector.FailureRate() * float64(expected) * failureCost)
		out = append(out, candidate{
			upstream: u, predicted: predicted, cost: predicted + load + failing + s.remoteCost(u),
			full: s.capacity.Connections > 0 && float64(running+1) > maxConnectionFraction*float64(s.capacity.Connections),
		})
	}
	return out
}

// maxConnectionFraction is the fraction of an upstream's connection limit that may be used;
// connections over the limit are reset.
const maxConnectionFraction = 0.9

// failureCost is the cost of a failed request in multiples of the service time.
const failureCost = 4
