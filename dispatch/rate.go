package dispatch

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the moving averages of rates.
	rateWindow = 5 * time.Second
	// rateMinSamples is how many events an estimate of a rate needs.
	rateMinSamples = 3
	// rateMinBusy bounds an estimate that rests on a very short time.
	rateMinBusy = time.Millisecond
	// rateRetention is how long an estimate stays valid without being used.
	rateRetention = 60 * time.Second
)

// rateEstimator is a moving average of events per second. Time passes only between
// start and stop: a queue that is empty says nothing about how fast it drains.
type rateEstimator struct {
	count   float64
	samples int
	busy    time.Duration
	last    time.Time
	running bool
}

// start lets time pass again.
func (r *rateEstimator) start(now time.Time) {
	if now.Sub(r.last) > rateRetention {
		*r = rateEstimator{}
	}
	r.running = true
	r.last = now
}

// stop lets no more time pass.
func (r *rateEstimator) stop(now time.Time) {
	r.advance(now)
	r.running = false
}

// add counts one event.
func (r *rateEstimator) add(now time.Time) {
	r.advance(now)
	r.count++
	r.samples++
}

// perSecond returns the rate; false if too few events were seen.
func (r *rateEstimator) perSecond(now time.Time) (float64, bool) {
	r.advance(now)
	if r.samples < rateMinSamples {
		return 0, false
	}
	window := rateWindow.Seconds()
	seen := window * -math.Expm1(-r.busy.Seconds()/window)
	return r.count / max(seen, rateMinBusy.Seconds()), true
}

// advance decays the count by the time that passed.
func (r *rateEstimator) advance(now time.Time) {
	if !r.running || !now.After(r.last) {
		return
	}
	elapsed := now.Sub(r.last)
	r.count *= math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	r.busy += elapsed
	r.last = now
}
