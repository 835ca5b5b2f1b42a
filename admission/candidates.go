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
		return s.plainCandidates(now, usable)
	}
	homes := placement.Homes(r.Prompt.SharedKey(), usable)
	homes = homes[:placement.HomeCount(r.Prompt, s.options.Replicas, len(homes))]
	out := make([]candidate, 0, len(homes))
	known := false
	for _, id := range homes {
		c := s.engineCandidate(now, r, s.upstreams[id])
		known = known || c.prefill < r.Prompt.Tokens()
		out = append(out, c)
	}
	if !known && len(out) > 0 {
		// Other routers prefer the first home too and may have filled it.
		out[0].cost -= s.reading(r.Prompt.SharedTokens())
	}
	return out
}

// reading is the time that an engine takes to read prompt tokens.
func (s *Scheduler) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.model.rate * float64(time.Second))
}

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
	backlog := u.backlog(now, s.model.rate, s.options.PeerTTL)
	// The last part may be cached too, if the session has been there before.
	prefill := r.Prompt.Tokens() - u.cache.Cached(r.Prompt)
	total := u.total(now, s.options.PeerTTL)
	own := r.Prompt.Tokens() - r.Prompt.SharedTokens() + r.OutputTokens
	c := candidate{
		upstream:  u,
		backlog:   backlog,
		prefill:   prefill,
		predicted: s.model.predict(backlog + float64(prefill)),
		full: float64(total.Running+1) > s.options.SlotLimit*float64(s.capacity.Slots) ||
			float64(total.Memory+own) > s.options.MemoryLimit*float64(s.capacity.MemoryTokens),
	}
	c.cost = c.predicted + s.placeCost(u)
	return c
}

func (s *Scheduler) placeCost(u *upstream) time.Duration {
	if s.options.Regions[u.Domain] == s.options.Local.Region {
		return 0
	}
	return s.options.RemoteCost
}

// plainCandidates predicts the answers of plain upstreams: those over their slots
// queue. Failing ones count as slower, so that healthy ones come first.
func (s *Scheduler) plainCandidates(now time.Time, usable []fleet.UpstreamID) []candidate {
	out := make([]candidate, 0, len(usable))
	for _, id := range usable {
		u := s.upstreams[id]
		running := u.total(now, s.options.PeerTTL).Running
		slots := max(u.Slots, 1)
		queued := max(0, running+1-slots)
		predicted := s.service.get() + s.service.get()*time.Duration(queued)/time.Duration(slots)
		load := time.Duration(float64(s.service.get()) * float64(running) / float64(slots))
		failing := time.Duration(u.detector.FailureRate() * float64(s.service.get()) * failureCost)
		out = append(out, candidate{
			upstream: u, predicted: predicted, cost: predicted + load + failing + s.placeCost(u),
		})
	}
	return out
}

// failureCost is how many service times a failed answer counts for.
const failureCost = 4
