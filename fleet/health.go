package fleet

import (
	"cmp"
	"time"
)

const (
	// DefaultFailureThreshold is the count of consecutive failures that takes
	// an upstream down.
	DefaultFailureThreshold = 3
	// DefaultProbeInterval is the time between probes of a healthy upstream.
	DefaultProbeInterval = time.Second
	// DefaultMaxProbeInterval bounds the time between probes of one that is
	// down.
	DefaultMaxProbeInterval = 5 * time.Second
	// DefaultProbeTimeout is when a probe without result counts as failed.
	DefaultProbeTimeout = 2 * time.Second
)

// HealthOptions set up a Health. Zero values stand for the defaults.
type HealthOptions struct {
	FailureThreshold int
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	ProbeTimeout     time.Duration
}

// HealthEvent is an input of a Health.
type HealthEvent interface{ isHealthEvent() }

// ProbeDone reports the result of a probe. Results other than that of the
// latest probe are ignored.
type ProbeDone struct {
	Seq uint64
	OK  bool
}

// RequestDone reports whether a request reached the upstream and got an
// answer of any status.
type RequestDone struct {
	OK bool
}

// HealthTick reports that the time of NextWake has come.
type HealthTick struct{}

func (ProbeDone) isHealthEvent()   {}
func (RequestDone) isHealthEvent() {}
func (HealthTick) isHealthEvent()  {}

// HealthAction is an output of a Health.
type HealthAction interface{ isHealthAction() }

// Probe asks the driver for a health check.
type Probe struct {
	Seq uint64
}

// BecameUp reports that the upstream is healthy again.
type BecameUp struct{}

// BecameDown reports that the upstream is no longer healthy.
type BecameDown struct{}

func (Probe) isHealthAction()      {}
func (BecameUp) isHealthAction()   {}
func (BecameDown) isHealthAction() {}

// Health tracks whether an upstream is healthy. It is down from its start
// until its first success, goes down after consecutive failures and up at the
// first success. While it is down the probe interval doubles with each
// failure. It is not safe for concurrent use.
type Health struct {
	options  HealthOptions
	up       bool
	failures int
	interval time.Duration
	seq      uint64
	probing  bool
	wake     time.Time
}

// NewHealth returns a Health whose first probe is due at once.
func NewHealth(options HealthOptions) *Health {
	options.FailureThreshold = cmp.Or(options.FailureThreshold, DefaultFailureThreshold)
	options.ProbeInterval = cmp.Or(options.ProbeInterval, DefaultProbeInterval)
	options.MaxProbeInterval = cmp.Or(options.MaxProbeInterval, DefaultMaxProbeInterval)
	options.ProbeTimeout = cmp.Or(options.ProbeTimeout, DefaultProbeTimeout)
	return &Health{options: options, interval: options.ProbeInterval}
}

// Up tells whether the upstream is healthy.
func (h *Health) Up() bool {
	return h.up
}

// NextWake returns when to send a HealthTick.
func (h *Health) NextWake() (time.Time, bool) {
	return h.wake, true
}

// Step takes an event at a time that never goes back and returns what to do.
func (h *Health) Step(now time.Time, event HealthEvent) []HealthAction {
	switch e := event.(type) {
	case ProbeDone:
		if !h.probing || e.Seq != h.seq {
			return nil
		}
		return h.probeDone(now, e.OK)
	case RequestDone:
		return h.observe(e.OK)
	case HealthTick:
		return h.tick(now)
	}
	return nil
}

// tick starts a probe, after failing one that is overdue.
func (h *Health) tick(now time.Time) []HealthAction {
	if now.Before(h.wake) {
		return nil
	}
	if h.probing {
		return h.probeDone(now, false)
	}
	h.seq++
	h.probing = true
	h.wake = now.Add(h.options.ProbeTimeout)
	return []HealthAction{Probe{Seq: h.seq}}
}

func (h *Health) probeDone(now time.Time, ok bool) []HealthAction {
	h.probing = false
	actions := h.observe(ok)
	if !h.up {
		h.wake = now.Add(h.interval)
		h.interval = min(2*h.interval, h.options.MaxProbeInterval)
		return actions
	}
	h.interval = h.options.ProbeInterval
	h.wake = now.Add(h.interval)
	return actions
}

func (h *Health) observe(ok bool) []HealthAction {
	if !ok {
		return h.fail()
	}
	h.failures = 0
	if h.up {
		return nil
	}
	h.up = true
	h.interval = h.options.ProbeInterval
	return []HealthAction{BecameUp{}}
}

func (h *Health) fail() []HealthAction {
	h.failures++
	if !h.up || h.failures < h.options.FailureThreshold {
		return nil
	}
	h.up = false
	return []HealthAction{BecameDown{}}
}
