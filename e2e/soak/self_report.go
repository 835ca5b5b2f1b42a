package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerLeaving    = "Server-Leaving"
	headerRetryAfter = "Retry-After"
	// pausePermille is the share of requests, in thousandths, that a server refuses with a pause
	// while it pushes back.
	pausePermille = 200
	// pauseSlack is how long after a refusal a gateway is bound by the pause that it asks for, and
	// maxPausedArrivals how many requests of it may arrive in the rest of the pause.
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
	// maxPause bounds the pauses.
	maxPause = 4 * time.Second
)

// listener is a gateway that an instance of a server has told something of itself.
type listener struct{ server, gateway string }

// toldPause is a pause that a gateway was asked for.
type toldPause struct {
	from, until time.Time
	arrivals    int
}

// selfReport is what a server says of itself in its responses. It is safe for concurrent use.
type selfReport struct {
	mu sync.Mutex
	// leaving and pausing are set while the server says that it leaves, and asks for pauses.
	leaving, pausing bool
	// toldLeaving is when each gateway first got a whole response that says so.
	toldLeaving map[listener]time.Time
	toldPauses  map[listener][]*toldPause
	// starts counts the starts under the server's identifier.
	starts int
}

// announce adds to a response what the server says of itself in all of them. The returned function
// records that it has been sent.
func (s *selfReport) announce(w http.ResponseWriter, to listener) (sent func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		return func() {}
	}
	w.Header().Set(headerLeaving, "1")
	start := s.starts
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.starts != start {
			return
		}
		if s.toldLeaving == nil {
			s.toldLeaving = make(map[listener]time.Time)
		}
		if _, told := s.toldLeaving[to]; !told {
			s.toldLeaving[to] = time.Now()
		}
	}
}

// askForPause decides at random whether a request is refused with a pause, and adds that to its
// response.
func (s *selfReport) askForPause(w http.ResponseWriter, of listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pausing || rand.Int64N(1000) >= pausePermille {
		return false
	}
	length := time.Duration(rand.Int64N(int64(maxPause))).Round(time.Millisecond)
	w.Header().Set(headerRetryAfter, strconv.FormatFloat(length.Seconds(), 'f', -1, 64))
	if s.toldPauses == nil {
		s.toldPauses = make(map[listener][]*toldPause)
	}
	now := time.Now()
	s.toldPauses[of] = append(s.toldPauses[of], &toldPause{from: now.Add(pauseSlack), until: now.Add(length)})
	return true
}

// arrive describes an arrival that what the server has told the gateway forbids; it is empty if
// nothing does. disturbed reports whether the gateway was disrupted between two times.
func (s *selfReport) arrive(a Arrival, disturbed func(from, to time.Time) bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := listener{server: a.Server, gateway: a.Gateway}
	if told, ok := s.toldLeaving[from]; ok && a.ReceivedAt.Sub(told) > drainWithin && !disturbed(told, a.ReceivedAt) {
		return fmt.Sprintf("%s arrived at %s at %s, which told gateway %s at %s that it leaves",
			a.AttemptID, a.Server, a.ReceivedAt.Format(timeLayout), a.Gateway, told.Format(timeLayout))
	}
	for _, p := range s.toldPauses[from] {
		if a.ReceivedAt.Before(p.from) || !a.ReceivedAt.Before(p.until) || disturbed(p.from.Add(-pauseSlack), a.ReceivedAt) {
			continue
		}
		p.arrivals++
		if p.arrivals > maxPausedArrivals {
			return fmt.Sprintf("%s is number %d at %s between %s and %s, for which it asked gateway %s for a pause",
				a.AttemptID, p.arrivals, a.Server, p.from.Format(timeLayout), p.until.Format(timeLayout), a.Gateway)
		}
	}
	return ""
}

// say sets what the server says of itself.
func (s *selfReport) say(leaving, pausing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.pausing = leaving, pausing
}

// checkReports checks an arrival at a server that may have told the gateway to send none.
func (r *Rules) checkReports(a Arrival, s *selfReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	violation := s.arrive(a, func(from, to time.Time) bool { return r.disruptedBetween(a.Gateway, from, to) })
	if violation != "" && r.violation == "" {
		r.violation = violation
	}
}

// disruptedBetween reports whether a gateway was disrupted at any time between two. The caller
// holds mu.
func (r *Rules) disruptedBetween(gateway string, from, to time.Time) bool {
	for _, g := range r.disruptions[gateway] {
		if g.begin.Before(to) && (g.end.IsZero() || g.end.After(from)) {
			return true
		}
	}
	return false
}

// forget makes what the server has told the gateways that of an earlier start.
func (s *selfReport) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.starts++
	s.leaving, s.pausing = false, false
	s.toldLeaving, s.toldPauses = nil, nil
}

// pushBackFor lets a plain server ask for pauses for some time.
func (env *Environment) pushBackFor(ctx context.Context, p *plainServer, duration time.Duration) {
	p.selfReport.say(false, true)
	sleep(ctx, duration)
	p.selfReport.say(false, false)
}
