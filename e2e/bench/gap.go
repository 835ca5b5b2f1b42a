package bench

import "time"

// TeamSample is the state of one team at one moment.
type TeamSample struct {
	// Served is the service that the team's callers have received so far.
	Served float64
	// Backlogged tells whether requests of the team wait for their first token.
	Backlogged bool
}

// GapPoint is the largest gap over the sub-window from the window's start to a
// moment.
type GapPoint struct {
	At  time.Time
	Gap float64
}

// GapTracker estimates the fairness gap. The window starts at the first sample.
// At each later one the gap is the largest |S_i/w_i - S_j/w_j| over the pairs of
// teams that were backlogged at every sample so far, where S is the service
// received since the window's start. It is given in units of the largest
// request's cost times the slots that a team holds at its fair share, over its
// weight; this unit is the same for all teams.
type GapTracker struct {
	weights     []float64
	slots       float64
	largestCost float64

	startServed      []float64
	alwaysBacklogged []bool
	points           []GapPoint
}

// NewGapTracker returns a tracker of teams with these weights that share slots.
// Largest is the cost of the largest request.
func NewGapTracker(weights []float64, slots int, largestCost float64) *GapTracker {
	return &GapTracker{weights: weights, slots: float64(slots), largestCost: largestCost}
}

// Observe adds one sample of all teams.
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

// Jain returns Jain's index of the weighted service of the teams that were
// backlogged all along, at the given last sample; 1 is equal service.
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

// Backlogged returns how many teams were backlogged all along.
func (g *GapTracker) Backlogged() int {
	n := 0
	for _, alwaysBacklogged := range g.alwaysBacklogged {
		if alwaysBacklogged {
			n++
		}
	}
	return n
}
