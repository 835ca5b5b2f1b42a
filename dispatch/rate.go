package dispatch

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the exponential moving average.
	rateWindow = 5 * time.Second
	// rateMinSamples is the number of events required for an estimate.
	rateMinSamples = 3
	// rateMinBusy is the minimum busy time that a count is divided by. It bounds the
	// estimate after a very short busy time.
	rateMinBusy = time.Millisecond
	// rateRetention is the idle time after which an estimate is discarded.
	rateRetention = 60 * time.Second
)

// rateEstimator estimates events per second by an exponential moving average.
// Only the time between start and stop counts: an empty queue gives no information
// about its drain rate.
type rateEstimator struct {
	// count is the number of events, each decayed by its age.
	count float64
	// samples is the number of events without decay.
	samples int
	// busy is the total time between start and stop.
	busy time.Duration
	// last is the time up to which count is decayed and busy is summed.
	last    time.Time
	running bool
}

// start resumes the clock.
func (r *rateEstimator) start(now time.Time) {
	if now.Sub(r.last) > rateRetention {
		*r = rateEstimator{}
	}
	r.running = true
	r.last = now
}

// stop suspends the clock.
func (r *rateEstimator) stop(now time.Time) {
	r.advance(now)
	r.running = false
}

// add records an event.
func (r *rateEstimator) add(now time.Time) {
	r.advance(now)
	r.count++
	r.samples++
}

// perSecond returns the rate; false if too few events were recorded.
func (r *rateEstimator) perSecond(now time.Time) (float64, bool) {
	r.advance(now)
	if r.samples < rateMinSamples {
		return 0, false
	}
	window := rateWindow.Seconds()
	decayedSeconds := window * -math.Expm1(-r.busy.Seconds()/window)
	return r.count / max(decayedSeconds, rateMinBusy.Seconds()), true
}

// advance decays the count by the time since the last call.
func (r *rateEstimator) advance(now time.Time) {
	if !r.running || !now.After(r.last) {
		return
	}
	elapsed := now.Sub(r.last)
	r.count *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.busy += elapsed
	r.last = now
}
