package admission

import (
	"math"
	"time"
)

const (
	// factorMemory is the time after which an observation counts 1/e. It is long
	// compared with slow periods of half a second.
	factorMemory = 10 * time.Second
	// minFactorWeight is the number of observations that count in any case. It keeps
	// single observations of a rarely used engine from replacing its factor.
	minFactorWeight = 8
	// factorPriorWeight is the number of observations that the prior, a factor of one,
	// counts in the pooled factor.
	factorPriorWeight = 6
	// maxFactorDeviation bounds the difference of a logarithmic observation from the
	// estimate. Other routers' requests that are not known yet delay single first tokens
	// by a multiple.
	maxFactorDeviation = 0.5
	// maxReportedWeight bounds the weight that another router may report.
	maxReportedWeight = 10_000
)

// maxLogFactor bounds the logarithm of an engine's factor and of each observation, in both
// directions.
var maxLogFactor = math.Log(4)

// EngineFactor is the observed speed of one engine relative to the other engines of its
// service.
type EngineFactor struct {
	// Log is the natural logarithm of the engine's prefill rate divided by the
	// service's.
	Log float64
	// Weight is the number of observations behind it, with older ones discounted.
	Weight float64
}

// bounded returns a reported factor within the bounds. It returns false for a factor that
// carries no information: one without weight, or with values that are not numbers.
func (f EngineFactor) bounded() (EngineFactor, bool) {
	if math.IsNaN(f.Log) || !(f.Weight > 0) {
		return EngineFactor{}, false
	}
	return EngineFactor{Log: min(max(f.Log, -maxLogFactor), maxLogFactor), Weight: min(f.Weight, maxReportedWeight)}, true
}

// plus returns the mean of two factors by weight.
func (f EngineFactor) plus(other EngineFactor) EngineFactor {
	weight := f.Weight + other.Weight
	if weight == 0 {
		return EngineFactor{}
	}
	return EngineFactor{Log: (f.Log*f.Weight + other.Log*other.Weight) / weight, Weight: weight}
}

// confidence returns the weight of the observations relative to that of the prior as well,
// from zero to one.
func (f EngineFactor) confidence() float64 { return f.Weight / (f.Weight + factorPriorWeight) }

// relativeTo returns the logarithm of the factor relative to the mean of the service, shrunk
// towards zero by the prior.
func (f EngineFactor) relativeTo(mean float64) float64 { return f.confidence() * (f.Log - mean) }

// factorEstimate is this router's own estimate of one engine's factor. It handles two
// speeds in one service and engines that are slow for half a second, which must not move
// it.
type factorEstimate struct {
	EngineFactor
	// at is the time of the last observation.
	at time.Time
}

// observe adds the logarithm of an observed factor, which counts as weight observations, at
// most one. Older observations are discounted by their age, so that a burst of observations
// during a slow period has little weight.
func (f *factorEstimate) observe(now time.Time, sample, weight float64) {
	age := max(now.Sub(f.at), 0)
	kept := max(math.Exp(-age.Seconds()/factorMemory.Seconds()), 1-weight/minFactorWeight)
	f.Weight = f.Weight*kept + weight
	deviation := min(max(sample-f.Log, -maxFactorDeviation), maxFactorDeviation)
	f.Log += deviation * weight / f.Weight
	f.at = now
}

// logFactor returns the logarithm of the observed prefill rate of an engine divided by this
// router's own estimate of the rate. Delays of this router are in both and cancel out. It
// returns false for a prompt that is too short, or while the rate is uncertain.
func (m *prefillModel) logFactor(tokens float64, took time.Duration) (float64, bool) {
	if tokens < minRateTokens || m.rateObservations < minObservations {
		return 0, false
	}
	sample := math.Log(tokens / m.prefillTime(took).Seconds() / m.rate)
	return min(max(sample, -maxLogFactor), maxLogFactor), true
}

// prefillTime returns the part of a time to first token that the prefill took.
func (m *prefillModel) prefillTime(took time.Duration) time.Duration {
	return max(took-m.overhead, time.Millisecond)
}

// scaledBy returns the speed of an engine with the given factor.
func (s EngineSpeed) scaledBy(factor float64) EngineSpeed {
	return EngineSpeed{Rate: s.Rate * factor, Overhead: s.Overhead}
}
