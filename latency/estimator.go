// Package latency estimates how long something usually takes from what it took lately. It
// has no clock.
package latency

import "time"

// The weights of a new sample, by which TCP derives its retransmission timeout (RFC 6298).
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
	deviationFactor = 4
)

// Estimator estimates a duration. The zero value has no samples.
type Estimator struct {
	known     bool
	mean      time.Duration
	deviation time.Duration
}

// Record adds a sample. Negative ones are ignored.
func (e *Estimator) Record(sample time.Duration) {
	switch {
	case sample < 0:
	case !e.known:
		e.known, e.mean, e.deviation = true, sample, sample/2
	default:
		deviation := (sample - e.mean).Abs()
		e.deviation += time.Duration(deviationWeight * float64(deviation-e.deviation))
		e.mean += time.Duration(meanWeight * float64(sample-e.mean))
	}
}

// Upper returns a duration that is rarely exceeded, and false without samples.
func (e *Estimator) Upper() (time.Duration, bool) {
	return e.mean + deviationFactor*e.deviation, e.known
}
