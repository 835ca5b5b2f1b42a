package soak

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Arrival is a request that reached an upstream.
type Arrival struct {
	Service string
	// Attempt identifies the caller's request; a retry of a router has the same.
	Attempt string
	Team    string
	// Order is set if the request must not run twice.
	Order bool
	At    time.Time
	// Ran is set if the upstream began to work on it, at Began.
	Ran   bool
	Began time.Time
	// Tokens is the size of the prompt and twice what was to be generated.
	Tokens float64
}

// Ask is a request that a caller sent.
type Ask struct {
	Service string
	Attempt string
	Team    string
	At      time.Time
	// Ended is when the caller had its answer or gave up.
	Ended time.Time
	// FirstByte is when the first byte of a success came; zero without.
	FirstByte time.Time
	Status    int
	Tokens    float64
	Objective time.Duration
}

// waited reports whether the ask was refused, or waited past its objective, in the
// second that begins at from.
func (a *Ask) waited(from time.Time) bool {
	until := from.Add(time.Second)
	refused := a.Status != 200 && !a.Ended.Before(from) && a.Ended.Before(until)
	late := a.At.Add(a.Objective)
	end := a.Ended
	if !a.FirstByte.IsZero() {
		end = a.FirstByte
	}
	return refused || late.Before(until) && end.After(late) && end.After(from)
}

// Record is what callers and upstreams saw.
type Record struct {
	mu       sync.Mutex
	asks     []Ask
	arrivals []*Arrival
}

// ask notes a request of a caller.
func (r *Record) ask(a Ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks = append(r.asks, a)
}

// arrive notes a request at an upstream.
func (r *Record) arrive(a Arrival) *Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, &a)
	return &a
}

// began notes that an upstream began to work on an arrival.
func (r *Record) began(a *Arrival, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Ran, a.Began = true, at
}

// Seen returns all that was noted, by time. It is called when callers have ended.
func (r *Record) Seen() ([]Ask, []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asks := slices.Clone(r.asks)
	slices.SortFunc(asks, func(a, b Ask) int { return a.At.Compare(b.At) })
	arrivals := make([]Arrival, 0, len(r.arrivals))
	for _, a := range r.arrivals {
		arrivals = append(arrivals, *a)
	}
	slices.SortFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	return asks, arrivals
}
