package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// limitWindow, limitOverage and limitSlack define how many requests an upstream may get
	// that names a limit: within the window limitOverage times what it allows, and
	// limitSlack more.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// heardFor is how long a gateway must have passed on a limit to be bound by it.
	heardFor = 500 * time.Millisecond
)

// namedLimit is the limit on requests that a server names in its responses. It is safe for
// concurrent use.
type namedLimit struct {
	mu   sync.Mutex
	rate float64
	// since is when it was first named; zero if none is named.
	since time.Time
	// heard is when each gateway, by its IP address, first passed on the limit.
	heard map[string]time.Time
	// arrivals are those of the last limitWindow from gateways that are bound by it.
	arrivals []time.Time
}

// begin lets the server name a limit from now on.
func (l *namedLimit) begin(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate, l.since, l.heard, l.arrivals = rate, time.Time{}, make(map[string]time.Time), nil
}

// end lets the server name no limit any more.
func (l *namedLimit) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = nil
}

// header returns the value to name in a response to a gateway; empty for no limit.
func (l *namedLimit) header(gateway string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard == nil {
		return ""
	}
	now := time.Now()
	if l.since.IsZero() {
		l.since = now
	}
	if _, ok := l.heard[gateway]; !ok {
		l.heard[gateway] = now
	}
	return strconv.FormatFloat(l.rate, 'f', -1, 64)
}

// arrive counts a request of a gateway and returns a description if there are too many.
func (l *namedLimit) arrive(a Arrival) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard, bound := l.heard[a.Gateway]
	if !bound || a.ReceivedAt.Sub(heard) < heardFor || l.since.IsZero() || a.ReceivedAt.Sub(l.since) < stableWindow {
		return ""
	}
	l.arrivals = append(slices.DeleteFunc(l.arrivals, func(at time.Time) bool { return a.ReceivedAt.Sub(at) >= limitWindow }), a.ReceivedAt)
	if allowed := limitOverage*l.rate*limitWindow.Seconds() + limitSlack; float64(len(l.arrivals)) > allowed {
		return fmt.Sprintf("%s is number %d within %v at an upstream of %s that names a limit of %.2f a second; allowed %.2f",
			a.AttemptID, len(l.arrivals), limitWindow, a.Service, l.rate, allowed)
	}
	return ""
}

// checkLimit checks an arrival at a server that may name a limit. Those of gateways that were
// disrupted are not counted.
func (r *Rules) checkLimit(a Arrival, l *namedLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.disrupted(a.Gateway, a.ReceivedAt) {
		return
	}
	if violation := l.arrive(a); violation != "" && r.violation == "" {
		r.violation = violation
	}
}

// limitFor lets a server name a limit for some time.
func (env *Environment) limitFor(ctx context.Context, s *server, rate float64, duration time.Duration) {
	if !s.limiting.TryLock() {
		return
	}
	defer s.limiting.Unlock()
	s.limit.begin(rate)
	sleep(ctx, stableWindow+duration)
	s.limit.end()
}
