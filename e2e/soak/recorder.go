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
	// AttemptID identifies the caller's request; retries by a router share it.
	AttemptID string
	Team      string
	Path      string
	// Server is the identifier of the upstream's instance.
	Server string
	// Gateway is the IP address of the gateway that sent the request.
	Gateway string
	// NonIdempotent is set if the request must not run twice.
	NonIdempotent bool
	ReceivedAt    time.Time
	// Started is set if the upstream began to process the request, at StartedAt.
	Started   bool
	StartedAt time.Time
	// ResumedAfter is the id of the event after which a stream is resumed, LastPiece that of
	// the last event that the run made; both are zero for a plain service.
	ResumedAfter int
	LastPiece    int
	// Cost is the prompt tokens plus twice the requested output tokens; zero for a
	// plain service.
	Cost float64
}

// Request is a request that a caller sent.
type Request struct {
	Service   string
	AttemptID string
	Team      string
	SentAt    time.Time
	// EndedAt is when the caller had the whole response or gave up.
	EndedAt time.Time
	// FirstByteAt is when the head of a successful response arrived, and zero
	// without one.
	FirstByteAt time.Time
	// Status is the HTTP status of the response, and zero without a whole response.
	Status int
	// Body is what the caller received of a successful response.
	Body []byte
	// Pieces is the number of events of a whole stream; zero for a plain service.
	Pieces int
	// Cost is as in Arrival.
	Cost float64
	// Objective is the latency objective of the time to the first byte.
	Objective time.Duration
	// Patience is the time after which the caller gives up.
	Patience time.Duration
}

// delayedIn reports whether, in the second that starts at from, the request was refused
// or waited for its first byte beyond its objective.
func (r *Request) delayedIn(from time.Time) bool {
	until := from.Add(time.Second)
	refused := r.Status != 200 && !r.EndedAt.Before(from) && r.EndedAt.Before(until)
	late := r.SentAt.Add(r.Objective)
	end := r.EndedAt
	if !r.FirstByteAt.IsZero() {
		end = r.FirstByteAt
	}
	return refused || late.Before(until) && end.After(late) && end.After(from)
}

// Recorder collects the requests that callers sent and that upstreams received.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	arrivals []*Arrival
}

func (r *Recorder) addRequest(request Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
}

// addArrival returns the recorded arrival, for use with markStarted.
func (r *Recorder) addArrival(a Arrival) *Arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, &a)
	return &a
}

func (r *Recorder) markStarted(a *Arrival, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Started, a.StartedAt = true, at
}

// markPiece records that a run made the event with an id.
func (r *Recorder) markPiece(a *Arrival, id int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.LastPiece = id
}

// Snapshot returns copies of all records in order of time. A request is included once
// it has ended.
func (r *Recorder) Snapshot() ([]Request, []Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	requests := slices.Clone(r.requests)
	slices.SortFunc(requests, func(a, b Request) int { return a.SentAt.Compare(b.SentAt) })
	arrivals := make([]Arrival, 0, len(r.arrivals))
	for _, a := range r.arrivals {
		arrivals = append(arrivals, *a)
	}
	slices.SortFunc(arrivals, func(a, b Arrival) int {
		return cmp.Or(a.ReceivedAt.Compare(b.ReceivedAt), cmp.Compare(a.AttemptID, b.AttemptID))
	})
	return requests, arrivals
}
