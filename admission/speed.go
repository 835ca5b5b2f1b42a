package admission

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// minObservations is the number of observations from which a router's estimates are
// worth telling.
const minObservations = 8

// EngineSpeed is what a router learnt of the engines: their prefill rate in tokens per
// second and the time that every request takes beside it.
type EngineSpeed struct {
	Rate     float64
	Overhead time.Duration
}

// predict returns the time to the first token behind tokens of work.
func (s EngineSpeed) predict(tokens float64) time.Duration {
	return s.Overhead + s.prefillTime(tokens)
}

// prefillTime returns how long an engine reads tokens of work.
func (s EngineSpeed) prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / s.Rate * float64(time.Second))
}

// speedPool pools what all routers learnt. It answers routers that are short of
// processor time, or paused: they see first tokens late, take that for the engines'
// slowness, refuse everything and so never see anything else. Engines are the same
// for all routers, so that the middle one of all estimates is right while most
// routers are sound.
type speedPool struct {
	byRouter map[fleet.NodeID]EngineSpeed
	// pooled is valid unless changed is set.
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

// get returns the middle one of the other routers' estimates and of the own one, if
// that has been learnt.
func (p *speedPool) get(m *prefillModel) EngineSpeed {
	if !p.stale {
		return p.pooled
	}
	all := make([]EngineSpeed, 0, len(p.byRouter)+1)
	for _, speed := range p.byRouter {
		all = append(all, speed)
	}
	if own, learnt := m.speed(); learnt || len(all) == 0 {
		all = append(all, own)
	}
	p.pooled = medianSpeed(all)
	p.stale = false
	return p.pooled
}

// medianSpeed returns the middle rate and the middle overhead of some speeds.
func medianSpeed(all []EngineSpeed) EngineSpeed {
	rates := make([]float64, 0, len(all))
	overheads := make([]time.Duration, 0, len(all))
	for _, speed := range all {
		rates = append(rates, speed.Rate)
		overheads = append(overheads, speed.Overhead)
	}
	return EngineSpeed{Rate: median(rates, true), Overhead: median(overheads, false)}
}

// median returns the median value, of two the greater or the lesser one.
func median[T cmp.Ordered](values []T, greater bool) T {
	slices.Sort(values)
	if greater {
		return values[len(values)/2]
	}
	return values[(len(values)-1)/2]
}
