package admission

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// minObserved is the number of observations from which a router's estimates are
// worth telling.
const minObserved = 8

// Speed is what a router learnt of the engines: their prefill rate in tokens per
// second and the time that every request takes beside it.
type Speed struct {
	Rate     float64
	Overhead time.Duration
}

// predict returns the time to the first token behind tokens of work.
func (s Speed) predict(tokens float64) time.Duration {
	return s.Overhead + s.reading(tokens)
}

// reading returns how long an engine reads tokens of work.
func (s Speed) reading(tokens float64) time.Duration {
	return time.Duration(tokens / s.Rate * float64(time.Second))
}

// speeds pools what all routers learnt. It answers routers that are short of
// processor time, or paused: they see first tokens late, take that for the engines'
// slowness, refuse everything and so never see anything else. Engines are the same
// for all routers, so that the middle one of all estimates is right while most
// routers are sound.
type speeds struct {
	byRouter map[fleet.NodeID]Speed
	// pooled is valid unless changed is set.
	pooled  Speed
	changed bool
}

func newSpeeds() speeds {
	return speeds{byRouter: make(map[fleet.NodeID]Speed), changed: true}
}

func (p *speeds) set(node fleet.NodeID, speed Speed) {
	p.byRouter[node] = speed
	p.changed = true
}

func (p *speeds) forget(node fleet.NodeID) {
	delete(p.byRouter, node)
	p.changed = true
}

// get returns the middle one of the other routers' estimates and of the own one, if
// that has been learnt.
func (p *speeds) get(m *prefillModel) Speed {
	if !p.changed {
		return p.pooled
	}
	all := make([]Speed, 0, len(p.byRouter)+1)
	for _, speed := range p.byRouter {
		all = append(all, speed)
	}
	if own, learnt := m.speed(); learnt || len(all) == 0 {
		all = append(all, own)
	}
	p.pooled = middleSpeed(all)
	p.changed = false
	return p.pooled
}

// middleSpeed returns the middle rate and the middle overhead of some speeds.
func middleSpeed(all []Speed) Speed {
	rates := make([]float64, 0, len(all))
	overheads := make([]time.Duration, 0, len(all))
	for _, speed := range all {
		rates = append(rates, speed.Rate)
		overheads = append(overheads, speed.Overhead)
	}
	return Speed{Rate: middle(rates, true), Overhead: middle(overheads, false)}
}

// middle returns the middle value, of two the greater or the lesser one.
func middle[T cmp.Ordered](values []T, greater bool) T {
	slices.Sort(values)
	if greater {
		return values[len(values)/2]
	}
	return values[(len(values)-1)/2]
}
