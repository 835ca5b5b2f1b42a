// Package overload decides when a gateway that can't keep up asks the balancer for no
// more connections. It answers callers that all come to one gateway with too little
// processor time: they wait unread, give up and come back at once, and what they left
// behind takes the rest of its time. It has no I/O and no clock.
//
// A gateway is behind once connections have waited to be accepted all through
// Options.Standing: a burst empties in between, a load beyond the processor doesn't.
// One that is behind turns unready for a while, unless too many gateways of its
// failure domain are unready: the others would only be next.
package overload

import "time"

// Options set up a Readiness.
type Options struct {
	// Standing is how long connections may wait without a pause; zero means for ever.
	Standing time.Duration
	// Hold is how long a gateway stays unready the first time. It doubles with each
	// spell that follows another within MaxHold, up to MaxHold.
	Hold    time.Duration
	MaxHold time.Duration
	// MaxUnready is the part of a failure domain's gateways that may be unready.
	MaxUnready float64
}

// Domain is what a gateway knows of the others in its failure domain.
type Domain struct {
	// Others is the number of the other gateways, and Unready that of those that
	// take no connections.
	Others  int
	Unready int
}

// Readiness is whether a gateway wants connections.
type Readiness struct {
	options Options
	// standing is since when connections wait without a pause; zero if none does.
	standing time.Time
	// until is the end of the present spell or of the last one; zero before the
	// first.
	until time.Time
	hold  time.Duration
	// unready is set during a spell.
	unready bool
}

// New returns the readiness of a gateway that has just started.
func New(options Options) *Readiness { return &Readiness{options: options} }

// Observe notes whether connections wait to be accepted.
func (r *Readiness) Observe(now time.Time, waiting bool) {
	switch {
	case !waiting:
		r.standing = time.Time{}
	case r.standing.IsZero():
		r.standing = now
	}
}

// Behind returns how long connections have waited without a pause, if that is longer
// than they may; zero otherwise.
func (r *Readiness) Behind(now time.Time) time.Duration {
	if r.standing.IsZero() || r.options.Standing <= 0 {
		return 0
	}
	if waited := now.Sub(r.standing); waited >= r.options.Standing {
		return waited
	}
	return 0
}

// Ready decides whether the gateway wants connections from now on.
func (r *Readiness) Ready(now time.Time, d Domain) bool {
	behind := r.Behind(now) > 0
	switch {
	case !r.unready && behind && r.allowed(d):
		r.begin(now)
	case r.unready && !behind && !now.Before(r.until):
		r.unready = false
	case r.unready && !r.allowed(d):
		// Others turned unready at the same time.
		r.unready = false
	}
	return !r.unready
}

// Unready reports whether the gateway is in a spell.
func (r *Readiness) Unready() bool { return r.unready }

// begin starts a spell.
func (r *Readiness) begin(now time.Time) {
	recent := !r.until.IsZero() && now.Sub(r.until) < r.options.MaxHold
	if recent {
		r.hold = min(2*r.hold, r.options.MaxHold)
	} else {
		r.hold = r.options.Hold
	}
	r.unready = true
	r.until = now.Add(r.hold)
}

// allowed reports whether this gateway may be unready beside those that are.
func (r *Readiness) allowed(d Domain) bool {
	return float64(d.Unready+1) <= r.options.MaxUnready*float64(d.Others+1)
}
