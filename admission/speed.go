package admission

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// minObservations is the number of observations after which a router's estimates are
// shared with other routers.
const minObservations = 8

// EngineSpeed is a router's estimate of the engines' prefill rate in tokens per second and
// of the fixed overhead per request.
type EngineSpeed struct {
	Rate     float64
	Overhead time.Duration
}

// predict returns the time to first token for tokens of work, the request's own included.
func (s EngineSpeed) predict(tokens float64) time.Duration {
	return s.Overhead + s.prefillTime(tokens)
}

// prefillTime returns the time that an engine takes to prefill tokens of work.
func (s EngineSpeed) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.Rate * float64(time.Second))
}

// speedPool combines the speed estimates of all routers. It handles routers that are short
// of processor time or paused: they see first tokens late, attribute the delay to slow
// engines, refuse all requests and so never get the observations that would correct the
// estimate. All routers use the same engines, so the median estimate is right as long as
// most routers are healthy.
type speedPool struct {
	byRouter map[fleet.NodeID]EngineSpeed
	// pooled is the cached median. It is valid unless stale is set.
	pooled EngineSpeed
	stale  bool
}

func newSpeedPool() speedPool {
	return speedPool{byRouter: make(map[fleet.NodeID]EngineSpeed), stale: true}
}

func (p *speedPool) set(node fleet.NodeID, speed EngineSpeed) {
	p.byRouter[node] = speed
	p.stale = true
}

func (p *speedPool) remove(node fleet.NodeID) {
	delete(p.byRouter, node)
	p.stale = true
}

// get returns the median of the other routers' estimates and, if it is based on enough
// observations, this router's own. Without any of these it returns the own estimate.
func (p *speedPool) get(m *prefillModel) EngineSpeed {
	if !p.stale {
		return p.pooled
	}
	all := make([]EngineSpeed, 0, len(p.byRouter)+1)
	for _, speed := range p.byRouter {
		all = append(all, speed)
	}
	if own, ok := m.speed(); ok || len(all) == 0 {
		all = append(all, own)
	}
	p.pooled = medianSpeed(all)
	p.stale = false
	return p.pooled
}

// medianSpeed returns the median rate and the median overhead, each computed separately.
// For an even count it takes the faster of the two middle values: the higher rate and the
// lower overhead.
func medianSpeed(all []EngineSpeed) EngineSpeed {
	rates := make([]float64, 0, len(all))
	overheads := make([]time.Duration, 0, len(all))
	for _, speed := range all {
		rates = append(rates, speed.Rate)
		overheads = append(overheads, speed.Overhead)
	}
	return EngineSpeed{Rate: median(rates, true), Overhead: median(overheads, false)}
}

// median returns the median of values, which it sorts in place. For an even count it
// returns the upper or the lower of the two middle values.
func median[T cmp.Ordered](values []T, upper bool) T {
	slices.Sort(values)
	if upper {
		return values[len(values)/2]
	}
	return values[(len(values)-1)/2]
}
