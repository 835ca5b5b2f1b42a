package admission

import (
	"math"
	"time"
)

const (
	// rateSmoothing is the weight of a new observation of the prefill rate,
	// once there are many; the first ones weigh as much as the initial figure.
	rateSmoothing = 0.08
	// rateSpread bounds the learnt rate to this factor of the initial one.
	rateSpread = 8
	// rateMinTokens is the work from which an observation tells of the rate;
	// below it tells of the overhead.
	rateMinTokens = 3000
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
	// rates and overheads count the observations.
	rates     int
	overheads int
}

// weight returns that of a new observation after some others.
func weight(smoothing float64, observed int) float64 {
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
func (m *prefillModel) speed() (Speed, bool) {
	return Speed{Rate: m.rate, Overhead: m.overhead}, m.rates+m.overheads >= minObserved
}

// observe takes the time that a request with tokens of work waited.
func (m *prefillModel) observe(tokens float64, took time.Duration) {
	if tokens < rateMinTokens {
		rest := took - time.Duration(tokens/m.rate*float64(time.Second))
		rest = min(max(rest, 0), maxOverhead)
		m.overhead += time.Duration(weight(rateSmoothing, m.overheads) * float64(rest-m.overhead))
		m.overheads++
		return
	}
	reading := max(took-m.overhead, time.Millisecond).Seconds()
	sample := min(max(tokens/reading, m.initial/rateSpread), m.initial*rateSpread)
	m.rate *= math.Exp(weight(rateSmoothing, m.rates) * math.Log(sample/m.rate))
	m.rates++
}
