package fleet

import (
	"cmp"
	"time"
)

const (
	// DefaultFailureThreshold is the number of consecutive failures after which an
	// upstream is unhealthy.
	DefaultFailureThreshold = 3
	// DefaultProbeInterval is the interval between probes of a healthy upstream.
	DefaultProbeInterval = time.Second
	// DefaultMaxProbeInterval bounds the interval between probes of an unhealthy
	// upstream.
	DefaultMaxProbeInterval = 5 * time.Second
	// DefaultProbeTimeout is the time after which a probe without a result counts as
	// failed.
	DefaultProbeTimeout = 2 * time.Second
)

// HealthOptions configure a Health. Zero values select the defaults.
type HealthOptions struct {
	FailureThreshold int
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	ProbeTimeout     time.Duration
}

// HealthEvent is an input event of a Health.
type HealthEvent interface{ isHealthEvent() }

// ProbeDone reports the result of a probe. All results but that of the latest probe are
// ignored.
type ProbeDone struct {
	Seq uint64
	OK  bool
}

// RequestDone reports whether a request reached the upstream and got a response of any
// status.
type RequestDone struct {
	OK bool
}

// HealthTick reports that the time returned by NextWake has been reached.
type HealthTick struct{}

func (ProbeDone) isHealthEvent()   {}
func (RequestDone) isHealthEvent() {}
func (HealthTick) isHealthEvent()  {}

// HealthAction is an action that a Health requests from its driver.
type HealthAction interface{ isHealthAction() }

// Probe requests a health check.
type Probe struct {
	Seq uint64
}

// BecameUp reports that the upstream became healthy.
type BecameUp struct{}

// BecameDown reports that the upstream became unhealthy.
type BecameDown struct{}

func (Probe) isHealthAction()      {}
func (BecameUp) isHealthAction()   {}
func (BecameDown) isHealthAction() {}

// Health is a state machine that tracks whether an upstream is healthy. An upstream is
// down initially and after FailureThreshold consecutive failures, and comes up at the
// first success. While it is down, the probe interval doubles after each failed probe,
// up to MaxProbeInterval. Health is not safe for concurrent use.
type Health struct {
	options  HealthOptions
	up       bool
	failures int
	interval time.Duration
	seq      uint64
	probing  bool
	wake     time.Time
}

// NewHealth returns a Health whose first probe is due immediately.
func NewHealth(options HealthOptions) *Health {
	options.FailureThreshold = cmp.Or(options.FailureThreshold, DefaultFailureThreshold)
	options.ProbeInterval = cmp.Or(options.ProbeInterval, DefaultProbeInterval)
	options.MaxProbeInterval = cmp.Or(options.MaxProbeInterval, DefaultMaxProbeInterval)
	options.ProbeTimeout = cmp.Or(options.ProbeTimeout, DefaultProbeTimeout)
	return &Health{options: options, interval: options.ProbeInterval}
}

// Up reports whether the upstream is healthy.
func (h *Health) Up() bool {
	return h.up
}

// NextWake returns the time at which the driver has to send the next HealthTick.
func (h *Health) NextWake() (time.Time, bool) {
	return h.wake, true
}

// Step processes an event and returns the resulting actions. Successive times must not
// decrease.
func (h *Health) Step(now time.Time, event HealthEvent) []HealthAction {
	switch e := event.(type) {
	case ProbeDone:
		if !h.probing || e.Seq != h.seq {
			return nil
		}
		return h.finishProbe(now, e.OK)
	case RequestDone:
		return h.recordResult(e.OK)
	case HealthTick:
		return h.tick(now)
	}
	return nil
}

// tick starts a probe, or fails the running one if it has timed out.
func (h *Health) tick(now time.Time) []HealthAction {
	if now.Before(h.wake) {
		return nil
	}
	if h.probing {
		return h.finishProbe(now, false)
	}
	h.seq++
	h.probing = true
	h.wake = now.Add(h.options.ProbeTimeout)
	return []HealthAction{Probe{Seq: h.seq}}
}

func (h *Health) finishProbe(now time.Time, ok bool) []HealthAction {
	h.probing = false
	actions := h.recordResult(ok)
	if !h.up {
		h.wake = now.Add(h.interval)
		h.interval = min(2*h.interval, h.options.MaxProbeInterval)
		return actions
	}
	h.interval = h.options.ProbeInterval
	h.wake = now.Add(h.interval)
	return actions
}

func (h *Health) recordResult(ok bool) []HealthAction {
	if !ok {
		return h.recordFailure()
	}
	h.failures = 0
	if h.up {
		return nil
	}
	h.up = true
	h.interval = h.options.ProbeInterval
	return []HealthAction{BecameUp{}}
}

func (h *Health) recordFailure() []HealthAction {
	h.failures++
	if !h.up || h.failures < h.options.FailureThreshold {
		return nil
	}
	h.up = false
	return []HealthAction{BecameDown{}}
}
