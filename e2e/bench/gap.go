package bench

import "time"

// TeamSample is the state of one team at one point in time.
type TeamSample struct {
	// Served is the total cost of the service that the team's callers have received.
	Served float64
	// Backlogged tells whether a request of the team waits for its first token.
	Backlogged bool
}

// GapPoint is the fairness gap over the sub-window from the start of the window
// to At.
type GapPoint struct {
	At  time.Time
	Gap float64
}

// GapTracker estimates the fairness gap. The window starts at the first sample.
// At each later sample the gap is the largest |S_i/w_i - S_j/w_j| over all pairs of
// teams that were backlogged at every sample so far, where S is the service
// received since the start of the window. The unit is the cost of the largest
// request times the slots of a team's fair share, divided by the team's weight,
// which is the same for all teams.
type GapTracker struct {
	weights     []float64
	slots       float64
	largestCost float64

	// startServed and alwaysBacklogged have an entry for each team; startServed is nil
	// before the first sample.
	startServed      []float64
	alwaysBacklogged []bool
	points           []GapPoint
}

// NewGapTracker returns a tracker for teams with the given weights that share
// slots. The argument largestCost is the cost of the largest request.
func NewGapTracker(weights []float64, slots int, largestCost float64) *GapTracker {
	return &GapTracker{weights: weights, slots: float64(slots), largestCost: largestCost}
}

// Observe records a sample of all teams.
func (g *GapTracker) Observe(at time.Time, samples []TeamSample) {
	if g.startServed == nil {
		g.setStart(samples)
		return
	}
	for i, sample := range samples {
		g.alwaysBacklogged[i] = g.alwaysBacklogged[i] && sample.Backlogged
	}
	g.points = append(g.points, GapPoint{At: at, Gap: g.gap(samples)})
}

func (g *GapTracker) setStart(samples []TeamSample) {
	g.startServed = make([]float64, len(samples))
	g.alwaysBacklogged = make([]bool, len(samples))
	for i, sample := range samples {
		g.startServed[i] = sample.Served
		g.alwaysBacklogged[i] = sample.Backlogged
	}
}

func (g *GapTracker) gap(samples []TeamSample) float64 {
	low, high, count := 0.0, 0.0, 0
	sum := 0.0
	for i, sample := range samples {
		if !g.alwaysBacklogged[i] {
			continue
		}
		service := (sample.Served - g.startServed[i]) / g.weights[i]
		if count == 0 || service < low {
			low = service
		}
		if count == 0 || service > high {
			high = service
		}
		sum += g.weights[i]
		count++
	}
	if count < 2 {
		return 0
	}
	return (high - low) / (g.largestCost * g.slots / sum)
}

// Max returns the largest gap of the sub-windows that end in [from, to).
func (g *GapTracker) Max(from, to time.Time) float64 {
	highest := 0.0
	for _, p := range g.points {
		if !p.At.Before(from) && p.At.Before(to) {
			highest = max(highest, p.Gap)
		}
	}
	return highest
}

// Jain returns Jain's fairness index of the weighted service, at the given last
// sample, of the teams that were backlogged throughout; 1 is equal service.
func (g *GapTracker) Jain(samples []TeamSample) float64 {
	sum, squares, n := 0.0, 0.0, 0.0
	for i, sample := range samples {
		if !g.alwaysBacklogged[i] {
			continue
		}
		x := (sample.Served - g.startServed[i]) / g.weights[i]
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (n * squares)
}

// Backlogged returns the number of teams that were backlogged throughout.
func (g *GapTracker) Backlogged() int {
	n := 0
	for _, alwaysBacklogged := range g.alwaysBacklogged {
		if alwaysBacklogged {
			n++
		}
	}
	return n
}
