package admission

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

const (
	// serviceTimeSmoothing is the weight of a new observation of the time that
	// a plain upstream takes.
	serviceTimeSmoothing = 0.05
	// initialServiceTime is the estimate before the first observation.
	initialServiceTime = 20 * time.Millisecond
)

// serviceTime is the smoothed time that a plain upstream takes for a request.
type serviceTime struct{ mean time.Duration }

func (t *serviceTime) observe(took time.Duration) {
	if t.mean == 0 {
		t.mean = initialServiceTime
	}
	t.mean += time.Duration(serviceTimeSmoothing * float64(took-t.mean))
}

func (t *serviceTime) get() time.Duration {
	if t.mean == 0 {
		return initialServiceTime
	}
	return t.mean
}

// candidates returns the upstreams that a request may be sent to.
func (s *Scheduler) candidates(now time.Time, r Request) []candidate {
	usable := s.usable(now, r.Exclude)
	if s.capacity.MemoryTokens == 0 {
		return s.plainCandidates(usable)
	}
	return s.engineCandidates(now, r, usable)
}

// engineCandidates returns the homes of a prompt and the engine that keeps most of
// it. A prompt that no engine keeps may also go where memory has room: it displaces
// nothing there.
func (s *Scheduler) engineCandidates(now time.Time, r Request, usable []fleet.UpstreamID) []candidate {
	order := placement.Homes(r.Prompt.SharedKey(), usable)
	homes := placement.HomeCount(r.Prompt, s.options.Replicas, len(order))
	anywhere := homes == len(order)
	keeper, kept := s.bestCacheHit(r, usable)
	out := make([]candidate, 0, len(order))
	for rank, id := range order {
		u := s.upstreams[id]
		fresh := keeper == nil && u.cache.HasRoom(r.Prompt)
		if rank >= homes && u != keeper && !fresh {
			continue
		}
		c := s.engineCandidate(now, r, u)
		if !anywhere && keeper == nil {
			// All routers take an unknown prompt to the first one in order, so
			// that it fills its cache and the others find it there.
			c.ranked = true
			c.cold = rank > 0 && !fresh
		}
		if !anywhere && keeper != nil && s.capacity.TransferRate == 0 {
			c.cold = c.cached < kept
		}
		s.planCopy(&c, r, keeper, kept)
		out = append(out, c)
	}
	return out
}

// bestCacheHit returns the engine that keeps most of a prompt, and how many tokens.
func (s *Scheduler) bestCacheHit(r Request, usable []fleet.UpstreamID) (*upstream, int) {
	var best *upstream
	most := 0
	for _, id := range usable {
		u := s.upstreams[id]
		if kept := u.cache.Cached(r.Prompt); kept > most {
			best, most = u, kept
		}
	}
	return best, most
}

// planCopy lets a candidate planCopy what another engine keeps instead of reading it.
func (s *Scheduler) planCopy(c *candidate, r Request, source *upstream, kept int) {
	if source == nil || source == c.upstream || s.capacity.TransferRate == 0 {
		return
	}
	missing := kept - c.cached
	if missing < minCopyTokens {
		return
	}
	c.copyFrom = source.Address
	c.prefill = s.prefillWork(r.Prompt.Tokens()-kept, kept)
	c.copyTokens = missing
	c.copyDistance = s.distance(source, c.upstream)
	c.predicted = s.speed().predict(c.backlog+float64(c.prefill)) + s.transfers.predict(c.copyDistance, missing)
	c.cost = c.predicted + copyPenalty + s.remoteCost(c.upstream)
}

// prefillWork returns how many tokens at the start of a prompt take as long to read as
// count tokens behind cached ones: each attends to all before it.
func (s *Scheduler) prefillWork(count, cached int) int {
	context := float64(cached) + float64(count)/2
	return int(float64(count) * (1 + context/s.options.AttentionTokens))
}

// copyPenalty is the wait that is preferred to a copy.
const copyPenalty = 400 * time.Millisecond

// minCopyTokens is the least that is worth a copy.
const minCopyTokens = 1000

// usable returns the upstreams that are neither excluded nor ejected. If all are
// ejected, the outcomes tell nothing about which to prefer.
func (s *Scheduler) usable(now time.Time, exclude []fleet.UpstreamID) []fleet.UpstreamID {
	var healthy, others []fleet.UpstreamID
	for _, id := range s.ids {
		if slices.Contains(exclude, id) {
			continue
		}
		if s.upstreams[id].detector.Ejected(now) {
			others = append(others, id)
			continue
		}
		healthy = append(healthy, id)
	}
	if len(healthy) == 0 {
		return others
	}
	return healthy
}

func (s *Scheduler) engineCandidate(now time.Time, r Request, u *upstream) candidate {
	backlog := u.backlog(now, s.speed().Rate)
	// The last part may be cached too, if the session has been there before.
	cached := u.cache.Cached(r.Prompt)
	prefill := s.prefillWork(r.Prompt.Tokens()-cached, cached)
	total := u.total()
	own := r.Prompt.Tokens() - r.Prompt.SharedTokens() + r.OutputTokens
	c := candidate{
		upstream:  u,
		backlog:   backlog,
		prefill:   prefill,
		cached:    cached,
		predicted: s.speed().predict(backlog + float64(prefill)),
		full: float64(total.Running+1) > s.options.SlotLimit*float64(s.capacity.Slots) ||
			float64(total.Memory+own) > s.options.MemoryLimit*float64(s.capacity.MemoryTokens),
	}
	c.cost = c.predicted + s.remoteCost(u)
	return c
}

func (s *Scheduler) remoteCost(u *upstream) time.Duration {
	if s.options.Regions[u.Domain] == s.options.Local.Region {
		return 0
	}
	return s.options.RemoteCost
}

// plainCandidates predicts the answers of plain upstreams: those over their slots
// queue. Failing ones count as slower, so that healthy ones come first.
func (s *Scheduler) plainCandidates(usable []fleet.UpstreamID) []candidate {
	out := make([]candidate, 0, len(usable))
	for _, id := range usable {
		u := s.upstreams[id]
		running := u.total().Running
		slots := max(u.Slots, 1)
		queued := max(0, running+1-slots)
		predicted := s.service.get() + s.service.get()*time.Duration(queued)/time.Duration(slots)
		load := time.Duration(float64(s.service.get()) * float64(running) / float64(slots))
		failing := time.Duration(u.detector.FailureRate() * float64(s.service.get()) * failureCost)
		out = append(out, candidate{
			upstream: u, predicted: predicted, cost: predicted + load + failing + s.remoteCost(u),
			full: s.capacity.Connections > 0 && float64(running+1) > maxConnectionFraction*float64(s.capacity.Connections),
		})
	}
	return out
}

// maxConnectionFraction is the part of an upstream's connections that may be taken; more
// would be reset.
const maxConnectionFraction = 0.9

// failureCost is how many service times a failed answer counts for.
const failureCost = 4
