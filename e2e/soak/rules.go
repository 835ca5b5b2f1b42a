package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Rules checks at each arrival, while a run lasts, that requests stay in their home
// regions, that evacuated upstreams and those that have left receive nothing, and that cold ones receive no more
// than the bound. It also records what other checks report meanwhile. It is safe for concurrent use.
type Rules struct {
	// Region returns the region of a failure domain.
	Region func(failureDomain string) string
	// Homes returns the home regions of the requests of a team to a path: the regions
	// that each of the two allows, nil for one that restricts nothing.
	Homes func(team, path string) (ofTeam, ofRoute []string)
	// EvacuateWithin is the time in which an evacuation must be in force.
	EvacuateWithin time.Duration
	// ColdBound is the number of requests that a cold upstream may receive within any
	// second.
	ColdBound float64

	mu sync.Mutex
	// evacuations maps the evacuated failure domains to the time of the platform's
	// acknowledgement.
	evacuations map[string]time.Time
	// gaps lists for each gateway, in order of begin, when it may have missed an
	// evacuation.
	gaps map[string][]*gap
	// disruptions lists for each gateway when it was disrupted in any way.
	disruptions map[string][]*gap
	// leaving maps the servers whose entries were removed to the time of the platform's
	// acknowledgement.
	leaving map[string]time.Time
	// parts are the prompt parts that crash upstreams.
	parts     map[string]*partCrashes
	violation string
}

// gap is a time in which a gateway was paused, or out of contact with the platform.
type gap struct {
	begin time.Time
	// end is zero while the gap lasts.
	end time.Time
}

// Violation describes the first breach of a rule; it is empty if there is none.
func (r *Rules) Violation() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violation
}

// report records a violation, unless there is one.
func (r *Rules) report(violation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation == "" {
		r.violation = violation
	}
}

// check checks an arrival at an upstream in a failure domain. coldArrivals is the number
// of requests that the upstream received within the last second while it was cold.
func (r *Rules) check(a Arrival, failureDomain string, coldArrivals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.violation != "" {
		return
	}
	r.violation = r.outsideHome(a, failureDomain)
	if r.violation == "" {
		r.violation = r.evacuated(a, failureDomain)
	}
	if r.violation == "" {
		r.violation = r.left(a)
	}
	if r.violation == "" && float64(coldArrivals) > r.ColdBound {
		r.violation = fmt.Sprintf("%s is number %d within a second at a cold upstream of %s in %s at %s; allowed %.2f",
			a.AttemptID, coldArrivals, a.Service, failureDomain, a.ReceivedAt.Format(timeLayout), r.ColdBound)
	}
}

func (r *Rules) outsideHome(a Arrival, failureDomain string) string {
	ofTeam, ofRoute := r.Homes(a.Team, a.Path)
	region := r.Region(failureDomain)
	for _, allowed := range [][]string{ofTeam, ofRoute} {
		if len(allowed) > 0 && !slices.Contains(allowed, region) {
			return fmt.Sprintf("%s to %s of team %s arrived in region %s at %s; its home is %v",
				a.AttemptID, a.Path, a.Team, region, a.ReceivedAt.Format(timeLayout), allowed)
		}
	}
	return ""
}

func (r *Rules) evacuated(a Arrival, failureDomain string) string {
	acknowledged, ok := r.evacuations[failureDomain]
	if !ok {
		return ""
	}
	deadline, due := r.deadline(a.Gateway, acknowledged, r.EvacuateWithin)
	if !due || !a.ReceivedAt.After(deadline) {
		return ""
	}
	return fmt.Sprintf("%s arrived in %s at %s, evacuated at %s, in force at gateway %s from %s",
		a.AttemptID, failureDomain, a.ReceivedAt.Format(timeLayout), acknowledged.Format(timeLayout), a.Gateway, deadline.Format(timeLayout))
}

// deadline returns the time from which a change that must be in force within a time must be so
// at a gateway. It returns false while a gap lasts that began before.
func (r *Rules) deadline(gateway string, acknowledged time.Time, within time.Duration) (time.Time, bool) {
	deadline := acknowledged.Add(within)
	for _, g := range r.gaps[gateway] {
		switch {
		case g.begin.After(deadline):
		case g.end.IsZero():
			return time.Time{}, false
		case g.end.After(acknowledged):
			deadline = later(deadline, g.end.Add(within))
		}
	}
	return deadline, true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beginGap begins a gap of gateways. The returned function ends it.
func (r *Rules) beginGap(gateways ...string) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.gaps == nil {
		r.gaps = make(map[string][]*gap)
	}
	shared := &gap{begin: time.Now()}
	for _, gateway := range gateways {
		r.gaps[gateway] = append(r.gaps[gateway], shared)
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		shared.end = time.Now()
	}
}

// beginEvacuation records the acknowledgement of an evacuation.
func (r *Rules) beginEvacuation(failureDomain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuations == nil {
		r.evacuations = make(map[string]time.Time)
	}
	r.evacuations[failureDomain] = time.Now()
}

// endEvacuation records the end of an evacuation, before the platform is told.
func (r *Rules) endEvacuation(failureDomain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.evacuations, failureDomain)
}
