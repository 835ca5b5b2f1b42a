// Package outlier implements outlier detection: it ejects upstreams that fail
// requests although they are registered and pass their health checks. It covers
// servers that crash, hang or fail some of their requests. The package has no I/O
// and no clock.
package outlier

import "time"

// Outcome is the result of an attempt at an upstream.
type Outcome int

// Outcomes of attempts.
const (
	// Success is a complete response that reports no failure of the upstream.
	Success Outcome = iota
	// Failure is a response that reports a failure of the upstream.
	Failure
	// Broken is a connection that closed before the response was complete.
	Broken
	// Unreachable is a connection that could not be established.
	Unreachable
	// Corrupt is a response with bytes that are not the upstream's. Unlike Broken it is no
	// sign of a crash: the upstream runs and keeps what it has cached.
	Corrupt
	// Cut is a response that broke off before its request was written as a whole. Unlike Broken it
	// is no sign of a crash: the upstream had not read the request.
	Cut
)

// Options configure a Detector.
type Options struct {
	// BaseEjection is the time of the first ejection. It doubles with each
	// consecutive ejection, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// ConsecutiveBroken is the number of broken connections, cut or corrupt responses, with no
	// complete response in between, that ejects an upstream. Connections that break at
	// the same time count as one: the fault may be in the network path rather
	// than in the upstream.
	ConsecutiveBroken int
	// Smoothing is the weight of a new outcome in the moving average of the
	// failure rate, from 0 to 1.
	Smoothing float64
}

// Detector tracks the outcomes of one upstream.
type Detector struct {
	options              Options
	consecutiveEjections int
	ejectedUntil         time.Time
	consecutiveBroken    int
	// lastBrokenAt is when consecutiveBroken was last incremented.
	lastBrokenAt time.Time
	failureRate  float64
}

// brokenCoalesceWindow is the time within which broken connections are attributed to
// the same cause and counted once.
const brokenCoalesceWindow = 100 * time.Millisecond

// NewDetector returns a detector of an upstream that is not ejected.
func NewDetector(options Options) *Detector { return &Detector{options: options} }

// Observe records the outcome of an attempt that began at started. It reports
// whether the outcome ejected the upstream.
func (d *Detector) Observe(now, started time.Time, outcome Outcome) bool {
	failed := 1.0
	if outcome == Success {
		failed = 0
	}
	d.failureRate += d.options.Smoothing * (failed - d.failureRate)
	switch outcome {
	case Success, Failure:
		d.consecutiveBroken = 0
		if started.After(d.ejectedUntil) {
			d.consecutiveEjections = 0
		}
		return false
	case Broken, Corrupt, Cut:
		if now.Sub(d.lastBrokenAt) < brokenCoalesceWindow {
			return false
		}
		d.lastBrokenAt = now
		d.consecutiveBroken++
		if d.consecutiveBroken < d.options.ConsecutiveBroken {
			return false
		}
	case Unreachable:
		// A failed connection attempt ejects at once.
	}
	return d.eject(now)
}

func (d *Detector) eject(now time.Time) bool {
	if now.Before(d.ejectedUntil) {
		return false
	}
	duration := d.options.BaseEjection << min(d.consecutiveEjections, 10)
	d.ejectedUntil = now.Add(min(duration, d.options.MaxEjection))
	d.consecutiveEjections++
	d.consecutiveBroken = 0
	return true
}

// Ejected reports whether the upstream is ejected.
func (d *Detector) Ejected(now time.Time) bool { return now.Before(d.ejectedUntil) }

// EjectedUntil returns the end of the last ejection; zero if there was none.
func (d *Detector) EjectedUntil() time.Time { return d.ejectedUntil }

// FailureRate returns the moving average of the fraction of failed attempts.
func (d *Detector) FailureRate() float64 { return d.failureRate }
