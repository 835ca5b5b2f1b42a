// Package overload decides when an overloaded gateway turns unready, so that the load
// balancer sends it no new connections. It handles the case of many callers that
// connect to one gateway with too little processor time: they wait unread, time out
// and reconnect at once, and the connections they abandoned use up the remaining
// processor time. The package has no I/O and no clock.
//
// A gateway is overloaded once connections have waited to be accepted without a pause
// for Options.MaxBacklogTime: the queue of a burst drains within that time, that of a
// sustained overload doesn't. An overloaded gateway turns unready for a hold-down time,
// unless shifting its load would overload the others in turn: too many gateways of its
// failure domain are unready already, or the ready ones are smaller than this one. The
// load balancer spreads callers over the ready gateways whatever their size.
package overload

import "time"

// Options configure a Readiness.
type Options struct {
	// MaxBacklogTime is how long connections may wait to be accepted without a pause;
	// zero means without limit.
	MaxBacklogTime time.Duration
	// HoldDown is how long a gateway stays unready the first time. It doubles each time
	// the gateway turns unready within MaxHoldDown of the last hold-down, up to
	// MaxHoldDown.
	HoldDown    time.Duration
	MaxHoldDown time.Duration
	// MaxUnreadyFraction is the fraction of a failure domain's gateways that may be
	// unready at once.
	MaxUnreadyFraction float64
}

// DomainStatus is a gateway's view of the other gateways in its failure domain.
type DomainStatus struct {
	// Others is the number of other gateways, of which Unready accept no new
	// connections.
	Others  int
	Unready int
	// Processors is the CPU time available to this gateway, and ReadyProcessors that of
	// all ready other gateways together, in cores. Zero means unknown.
	Processors      float64
	ReadyProcessors float64
	// ReadyUnknown is the number of ready other gateways whose CPU time is unknown and not
	// part of ReadyProcessors.
	ReadyUnknown int
}

// readyAreSmaller reports whether the ready other gateways have less CPU time than this
// one, on average over those whose CPU time is known.
func (d DomainStatus) readyAreSmaller() bool {
	known := d.Others - d.Unready - d.ReadyUnknown
	if known <= 0 || d.Processors <= 0 || d.ReadyProcessors <= 0 {
		return false
	}
	return d.ReadyProcessors/float64(known) < d.Processors
}

// Readiness tracks whether a gateway accepts new connections.
type Readiness struct {
	options Options
	// backlogSince is the time since which connections have waited without a pause;
	// zero if none is waiting.
	backlogSince time.Time
	// holdDownUntil is the end of the current or last hold-down; zero before the first.
	holdDownUntil time.Time
	holdDown      time.Duration
	unready       bool
}

// New returns the readiness of a gateway that has just started.
func New(options Options) *Readiness { return &Readiness{options: options} }

// Observe records whether connections are waiting to be accepted.
func (r *Readiness) Observe(now time.Time, waiting bool) {
	switch {
	case !waiting:
		r.backlogSince = time.Time{}
	case r.backlogSince.IsZero():
		r.backlogSince = now
	}
}

// OverloadDuration returns how long connections have waited without a pause, or zero
// if that is less than MaxBacklogTime or MaxBacklogTime is zero.
func (r *Readiness) OverloadDuration(now time.Time) time.Duration {
	if r.backlogSince.IsZero() || r.options.MaxBacklogTime <= 0 {
		return 0
	}
	if waited := now.Sub(r.backlogSince); waited >= r.options.MaxBacklogTime {
		return waited
	}
	return 0
}

// Ready updates and returns whether the gateway accepts new connections.
func (r *Readiness) Ready(now time.Time, d DomainStatus) bool {
	overloaded := r.OverloadDuration(now) > 0
	switch {
	case !r.unready && overloaded && r.mayTurnUnready(d):
		r.startHoldDown(now)
	case r.unready && !overloaded && !now.Before(r.holdDownUntil):
		r.unready = false
	case r.unready && !r.mayTurnUnready(d):
		// Too many other gateways turned unready at the same time.
		r.unready = false
	}
	return !r.unready
}

// Unready reports whether the gateway is unready as of the last call of Ready.
func (r *Readiness) Unready() bool { return r.unready }

// startHoldDown turns the gateway unready for a hold-down time.
func (r *Readiness) startHoldDown(now time.Time) {
	recent := !r.holdDownUntil.IsZero() && now.Sub(r.holdDownUntil) < r.options.MaxHoldDown
	if recent {
		r.holdDown = min(2*r.holdDown, r.options.MaxHoldDown)
	} else {
		r.holdDown = r.options.HoldDown
	}
	r.unready = true
	r.holdDownUntil = now.Add(r.holdDown)
}

// mayTurnUnready reports whether this gateway may be unready in addition to the others
// that are.
func (r *Readiness) mayTurnUnready(d DomainStatus) bool {
	return !d.readyAreSmaller() && float64(d.Unready+1) <= r.options.MaxUnreadyFraction*float64(d.Others+1)
}
