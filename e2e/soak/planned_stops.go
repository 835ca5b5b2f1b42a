package soak

import (
	"fmt"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// plannedStop is a stop of a gateway by SIGTERM, from the signal to the end of the process.
type plannedStop struct {
	// gateway is the IP address of the gateway.
	gateway      string
	began, ended time.Time
}

// recordStop returns a function that records that a stop of a gateway, which begins now, has
// ended.
func (env *Environment) recordStop(g *harness.Gateway) (end func()) {
	stop := plannedStop{gateway: g.SourceAddress(), began: time.Now()}
	return func() {
		stop.ended = time.Now()
		env.stopsMu.Lock()
		defer env.stopsMu.Unlock()
		env.stops = append(env.stops, stop)
	}
}

// calmStops returns the planned stops of gateways that were not disrupted otherwise.
func (env *Environment) calmStops() []plannedStop {
	env.stopsMu.Lock()
	defer env.stopsMu.Unlock()
	return slices.DeleteFunc(slices.Clone(env.stops), env.Rules.disturbed)
}

// disturbed reports whether a gateway was disrupted by anything but the stop itself, from
// stableWindow before the stop on.
func (r *Rules) disturbed(s plannedStop) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.disruptions[s.gateway] {
		isStop := !g.begin.After(s.began) && (g.end.IsZero() || !g.end.Before(s.ended))
		before := !g.end.IsZero() && g.end.Before(s.began.Add(-stableWindow))
		if !isStop && !before && g.begin.Before(s.ended) {
			return true
		}
	}
	return false
}

// LostRequest describes a request that a stopping gateway passed on and left without an answer;
// the result is empty if there is none. Requests that their callers gave up are left out, and
// streams, which break off visibly.
func LostRequest(requests []Request, arrivals []Arrival, stops []plannedStop) string {
	reached := map[string]bool{}
	for _, a := range arrivals {
		reached[a.AttemptID] = true
	}
	for _, r := range requests {
		if r.Service != deskService || r.Status != 0 || !reached[r.AttemptID] || r.EndedAt.Sub(r.SentAt) >= r.Patience {
			continue
		}
		for _, s := range stops {
			if s.gateway == gatewayOf(r.AttemptID) && !r.EndedAt.Before(s.began) && r.SentAt.Before(s.ended) {
				return fmt.Sprintf("%s, sent at %s, was passed on and got no answer until %s; its gateway was stopped at %s",
					r.AttemptID, r.SentAt.Format(timeLayout), r.EndedAt.Format(timeLayout), s.began.Format(timeLayout))
			}
		}
	}
	return ""
}
