package admission

import (
	"math"
	"time"
)

const (
	// rateSmoothing is the weight of a new observation in the moving averages of
	// the rate and the overhead. While there are few observations, the initial
	// estimate and each observation weigh the same, so that the first ones correct
	// a wrong initial estimate quickly.
	rateSmoothing = 0.08
	// maxRateFactor bounds the ratio of a rate sample to the initial rate, in both
	// directions.
	maxRateFactor = 8
	// minRateTokens is the minimum work of an observation that updates the rate.
	// Observations of less work update the overhead.
	minRateTokens = 3000
	// maxOverhead bounds the estimated overhead.
	maxOverhead = 250 * time.Millisecond
)

// prefillModel predicts the time to first token. It estimates the engines' prefill rate
// and the fixed overhead per request from observations.
type prefillModel struct {
	initial float64
	// rate is in tokens per second.
	rate                 float64
	overhead             time.Duration
	rateObservations     int
	overheadObservations int
}

// observationWeight returns the smoothing weight of a new observation after the given
// number of earlier ones.
func observationWeight(smoothing float64, observed int) float64 {
	return max(smoothing, 1/float64(observed+2))
}

func newPrefillModel(rate float64, overhead time.Duration) prefillModel {
	return prefillModel{initial: rate, rate: rate, overhead: overhead}
}

// estimate returns the estimate, however few observations it is based on.
func (m *prefillModel) estimate() EngineSpeed {
	return EngineSpeed{Rate: m.rate, Overhead: m.overhead}
}

// speed returns the estimate and whether it is based on enough observations to be shared
// with other routers.
func (m *prefillModel) speed() (EngineSpeed, bool) {
	return m.estimate(), m.rateObservations+m.overheadObservations >= minObservations
}

// observe updates the model with the time to first token of a request that had tokens of
// work before its first token, its own included, at an engine with the given factor. The
// rate is divided by the factor, so that it does not depend on which engines this router uses.
func (m *prefillModel) observe(tokens, factor float64, took time.Duration) {
	if tokens < minRateTokens {
		sample := took - time.Duration(tokens/(m.rate*factor)*float64(time.Second))
		sample = min(max(sample, 0), maxOverhead)
		m.overhead += time.Duration(observationWeight(rateSmoothing, m.overheadObservations) * float64(sample-m.overhead))
		m.overheadObservations++
		return
	}
	prefill := m.prefillTime(took).Seconds()
	sample := min(max(tokens/factor/prefill, m.initial/maxRateFactor), m.initial*maxRateFactor)
	m.rate *= math.Exp(observationWeight(rateSmoothing, m.rateObservations) * math.Log(sample/m.rate))
	m.rateObservations++
}
