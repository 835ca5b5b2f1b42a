package fairness

import "math"

const (
	// teamSmoothing and serviceSmoothing are the weights of a new cost in the moving
	// averages of a team's and of the service's costs.
	teamSmoothing    = 0.2
	serviceSmoothing = 0.05
	// hintWeight is the weight of a caller's hint in an estimate.
	hintWeight = 0.1
	// maxHintRatio caps a hint at this multiple of the average cost.
	maxHintRatio = 4
)

// movingAverage is an exponentially weighted moving average of costs.
type movingAverage struct {
	value float64
	known bool
}

func (a *movingAverage) observe(cost, smoothing float64) {
	if !a.known {
		a.value = cost
		a.known = true
		return
	}
	a.value += smoothing * (cost - a.value)
}

// estimate returns the cost to charge for a new request of a team. A hint of 0
// means that the caller gave none.
func (l *Ledger) estimate(a *account, hint float64) float64 {
	expected := l.cfg.Estimate
	switch {
	case a.costs.known:
		expected = a.costs.value
	case l.costs.known:
		expected = l.costs.value
	}
	if !validCost(hint) || hint == 0 {
		return expected
	}
	hint = min(hint, maxHintRatio*expected)
	return expected + hintWeight*(hint-expected)
}

// validCost reports whether a cost is finite and not negative.
func validCost(cost float64) bool {
	return cost >= 0 && !math.IsInf(cost, 1)
}
