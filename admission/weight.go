package admission

import (
	"math"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

const (
	// weightStepSize is the logarithm of the ratio of two successive placement weights.
	weightStepSize = 0.3
	// weightLeaveDistance is the distance of a logarithmic factor from its step beyond
	// which the step changes. Half a step would make noise at a boundary move prompts.
	weightLeaveDistance = 0.75 * weightStepSize
	// minWeightObservations is the weight of a pooled factor from which on it may change
	// the step.
	minWeightObservations = 24
	// weightHoldRefreshes is the number of successive refreshes in which a factor has to
	// call for another step before the step changes, 2 s in all.
	weightHoldRefreshes = 4
)

// placementWeight is an engine's weight in the placement of prompts, in coarse steps with
// hysteresis. Noise of the factors moves no prompt; a change by a step moves only prompts
// to or from this engine.
type placementWeight struct {
	step int
	// outside counts the successive refreshes that called for another step.
	outside int
	// value is the weight of the step. Engines of the service's speed have a weight of one.
	value float64
}

// update adjusts the step to the logarithm of a factor with the given number of
// observations.
func (w *placementWeight) update(log, observations float64) {
	distance := math.Abs(log - float64(w.step)*weightStepSize)
	if observations < minWeightObservations || distance <= weightLeaveDistance {
		w.outside = 0
		return
	}
	w.outside++
	if w.outside < weightHoldRefreshes {
		return
	}
	w.step = int(math.Round(log / weightStepSize))
	w.value = math.Exp(float64(w.step) * weightStepSize)
	w.outside = 0
}

// preferredEngines returns the usable engines in order of preference for the key of a
// prompt's shared parts. Faster engines are preferred by more prompts.
func (s *Scheduler) preferredEngines(key uint64, usable []fleet.UpstreamID) []fleet.UpstreamID {
	if !s.factors.weighted {
		return placement.PreferredEngines(key, usable)
	}
	weights := make([]float64, len(usable))
	for i, id := range usable {
		weights[i] = s.upstreams[id].weight.value
	}
	return placement.WeightedPreferredEngines(key, usable, weights)
}
