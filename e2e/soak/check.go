package soak

import (
	"fmt"
	"time"
)

// Budget is what retries of all routers may add up to.
type Budget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Overspent returns the first window in which a service got more arrivals beyond the
// first of their request than the budget allows, or nothing. The requests are those
// of the window, of the one before it or of the one half a window before it,
// whichever has most.
func (b Budget) Overspent(service string, asks []Ask, arrivals []Arrival) string {
	var requests, repeats []time.Time
	for _, a := range asks {
		if a.Service == service {
			requests = append(requests, a.At)
		}
	}
	seen := map[string]bool{}
	for _, a := range arrivals {
		if a.Service != service {
			continue
		}
		if seen[a.Attempt] {
			repeats = append(repeats, a.At)
		}
		seen[a.Attempt] = true
	}
	for i, from := range repeats {
		got := within(repeats[i:], from, b.Window)
		asked := max(within(requests, from, b.Window), within(requests, from.Add(-b.Window), b.Window),
			within(requests, from.Add(-b.Window/2), b.Window))
		if allowed := b.Ratio*float64(asked) + b.Slack; float64(got) > allowed {
			return fmt.Sprintf("%s: %d retries within %v of %s, for %d requests; allowed %.0f",
				service, got, b.Window, from.Format(clock), asked, allowed)
		}
	}
	return ""
}

// clock is how moments are shown, as in the logs of the processes.
const clock = "15:04:05.000"

// within counts the moments from from on, for a window.
func within(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// OrderedTwice returns an order that ran more than once, or nothing.
func OrderedTwice(arrivals []Arrival) string {
	ran := map[string]bool{}
	for _, a := range arrivals {
		if !a.Order || !a.Ran {
			continue
		}
		if ran[a.Attempt] {
			return fmt.Sprintf("%s ran twice, again at %s", a.Attempt, a.Began.Format(clock))
		}
		ran[a.Attempt] = true
	}
	return ""
}

// FalseRefusal returns a request that was answered as not run and ran, or nothing.
func FalseRefusal(asks []Ask, arrivals []Arrival) string {
	ran := map[string]bool{}
	for _, a := range arrivals {
		if a.Ran {
			ran[a.Attempt] = true
		}
	}
	for _, a := range asks {
		if (a.Status == 429 || a.Status == 503) && ran[a.Attempt] {
			return fmt.Sprintf("%s was refused as not run at %s, and ran", a.Attempt, a.Ended.Format(clock))
		}
	}
	return ""
}

const (
	// fairWindow is the span over which teams are compared.
	fairWindow = 6
	// spared is how many of its largest requests a team may be behind.
	spared = 3
)

// Unfair returns the first window in which a team that had a request refused or late
// in each second got less than half of what it asked for or of what the team that
// was served best got, whichever is less, or nothing.
func Unfair(service string, asks []Ask, arrivals []Arrival, from, until time.Time) string {
	for start := from; !start.Add(fairWindow * time.Second).After(until); start = start.Add(time.Second) {
		if found := unfairFrom(service, asks, arrivals, start); found != "" {
			return found
		}
	}
	return ""
}

// teamWindow is a team's part in a window.
type teamWindow struct {
	asked   float64
	got     float64
	largest float64
	// waited tells in which seconds a request was refused or late.
	waited [fairWindow]bool
}

func unfairFrom(service string, asks []Ask, arrivals []Arrival, start time.Time) string {
	teams := windowOf(service, asks, arrivals, start)
	best := 0.0
	for _, t := range teams {
		best = max(best, t.got)
	}
	for name, t := range teams {
		owed := min(t.asked, best)/2 - spared*t.largest
		if t.waited == [fairWindow]bool{true, true, true, true, true, true} && t.got < owed {
			return fmt.Sprintf("%s: from %s team %s asked for %.0f tokens, waited all through and got %.0f; another got %.0f",
				service, start.Format(clock), name, t.asked, t.got, best)
		}
	}
	return ""
}

func windowOf(service string, asks []Ask, arrivals []Arrival, start time.Time) map[string]*teamWindow {
	end := start.Add(fairWindow * time.Second)
	teams := map[string]*teamWindow{}
	team := func(name string) *teamWindow {
		if teams[name] == nil {
			teams[name] = &teamWindow{}
		}
		return teams[name]
	}
	for i := range asks {
		a := &asks[i]
		if a.Service != service || a.Ended.Before(start) || !a.At.Before(end) {
			continue
		}
		t := team(a.Team)
		if !a.At.Before(start) {
			t.asked += a.Tokens
			t.largest = max(t.largest, a.Tokens)
		}
		for second := range t.waited {
			t.waited[second] = t.waited[second] || a.waited(start.Add(time.Duration(second)*time.Second))
		}
	}
	for _, a := range arrivals {
		if a.Service == service && a.Ran && !a.Began.Before(start) && a.Began.Before(end) {
			team(a.Team).got += a.Tokens
		}
	}
	return teams
}
