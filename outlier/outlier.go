// Package outlier finds upstreams that fail although their registration and
// health checks are good, by the outcomes of the requests that they were sent.
// It answers the pattern of servers that crash, hang or fail part of their
// requests. It has no I/O and no clock.
package outlier

import "time"

// Outcome is how an attempt at an upstream ended.
type Outcome int

// Outcomes of attempts.
const (
	// Success is a whole answer that is no failure of the upstream's own.
	Success Outcome = iota
	// Failure is an answer that reports a failure of the upstream's own.
	Failure
	// Broken is a connection that ended before the whole answer.
	Broken
	// Unreachable is a connection that could not be made.
	Unreachable
)

// Options set up a Detector.
type Options struct {
	// BaseEjection is how long an upstream is left out at first; it doubles
	// with each ejection in a row up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// BrokenInARow is the number of broken answers without a success between
	// them that ejects. Those that break together count as one: they tell as
	// little of the upstream as of the way to it.
	BrokenInARow int
	// Smoothing is the weight of a new outcome in the failure rate, 0 to 1.
	Smoothing float64
}

// Detector follows one upstream.
type Detector struct {
	options   Options
	ejections int
	until     time.Time
	broken    int
	// brokenAt is when the last of broken was counted.
	brokenAt    time.Time
	failureRate float64
}

// together is the time within which answers break by the same cause.
const together = 100 * time.Millisecond

// NewDetector returns a detector of an upstream that is not ejected.
func NewDetector(options Options) *Detector { return &Detector{options: options} }

// Observe takes the outcome of an attempt that was started at started. It
// reports whether the upstream was ejected by it.
func (d *Detector) Observe(now, started time.Time, outcome Outcome) bool {
	failed := 1.0
	if outcome == Success {
		failed = 0
	}
	d.failureRate += d.options.Smoothing * (failed - d.failureRate)
	switch outcome {
	case Success, Failure:
		d.broken = 0
		if started.After(d.until) {
			d.ejections = 0
		}
		return false
	case Broken:
		if now.Sub(d.brokenAt) < together {
			return false
		}
		d.brokenAt = now
		d.broken++
		if d.broken < d.options.BrokenInARow {
			return false
		}
	case Unreachable:
	}
	return d.eject(now)
}

func (d *Detector) eject(now time.Time) bool {
	if now.Before(d.until) {
		return false
	}
	span := d.options.BaseEjection << min(d.ejections, 10)
	d.until = now.Add(min(span, d.options.MaxEjection))
	d.ejections++
	d.broken = 0
	return true
}

// Ejected reports whether the upstream is left out.
func (d *Detector) Ejected(now time.Time) bool { return now.Before(d.until) }

// FailureRate returns the smoothed part of attempts that failed.
func (d *Detector) FailureRate() float64 { return d.failureRate }
