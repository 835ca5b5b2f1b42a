package admission

import (
	"math"
	"time"
)

const (
	// rateSmoothing is the weight of a new observation of the prefill rate,
	// once there are many; the first ones weigh as much as the initial figure.
	rateSmoothing = 0.08
	// maxRateFactor bounds the learnt rate to this factor of the initial one.
	maxRateFactor = 8
	// minRateTokens is the work from which an observation tells of the rate;
	// below it tells of the overhead.
	minRateTokens = 3000
	// maxOverhead bounds the learnt overhead.
	maxOverhead = 250 * time.Millisecond
)

// prefillModel predicts the time to the first token. It learns the engines'
// prefill rate and the time that every request takes beside it.
type prefillModel struct {
	initial float64
	// rate is in tokens per second.
	rate     float64
	overhead time.Duration
	// rateObservations and overheads count the observations.
	rateObservations     int
	overheadObservations int
}

// observationWeight returns that of a new observation after some others.
func observationWeight(smoothing float64, observed int) float64 {
	return max(smoothing, 1/float64(observed+2))
}

func newPrefillModel(rate float64, overhead time.Duration) prefillModel {
	return prefillModel{initial: rate, rate: rate, overhead: overhead}
}

// predict returns the time to the first token behind tokens of work.
func (m *prefillModel) predict(tokens float64) time.Duration {
	return m.overhead + time.Duration(tokens/m.rate*float64(time.Second))
}

// speed returns what was learnt, and whether by enough observations to tell others.
func (m *prefillModel) speed() (EngineSpeed, bool) {
	return EngineSpeed{Rate: m.rate, Overhead: m.overhead}, m.rateObservations+m.overheadObservations >= minObservations
}

// observe takes the time that a request with tokens of work waited.
func (m *prefillModel) observe(tokens float64, took time.Duration) {
	if tokens < minRateTokens {
		rest := took - time.Duration(tokens/m.rate*float64(time.Second))
		rest = min(max(rest, 0), maxOverhead)
		m.overhead += time.Duration(observationWeight(rateSmoothing, m.overheadObservations) * float64(rest-m.overhead))
		m.overheadObservations++
		return
	}
	reading := max(took-m.overhead, time.Millisecond).Seconds()
	sample := min(max(tokens/reading, m.initial/maxRateFactor), m.initial*maxRateFactor)
	m.rate *= math.Exp(observationWeight(rateSmoothing, m.rateObservations) * math.Log(sample/m.rate))
	m.rateObservations++
}
