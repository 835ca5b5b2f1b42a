package soak

import (
	"fmt"
	"time"
)

// RetryBudget limits the total of the retries of all routers.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Violation describes the first window in which a service received more retries than
// the budget allows; the result is empty if there is none. An arrival is a retry if
// it is not the first of its request. The ratio applies to the requests of the same
// window, of the previous one or of the one that starts half a window earlier,
// whichever has the most.
func (b RetryBudget) Violation(service string, requests []Request, arrivals []Arrival) string {
	var sent, retries []time.Time
	for _, r := range requests {
		if r.Service == service {
			sent = append(sent, r.SentAt)
		}
	}
	seen := map[string]bool{}
	for _, a := range arrivals {
		if a.Service != service {
			continue
		}
		if seen[a.AttemptID] {
			retries = append(retries, a.ReceivedAt)
		}
		seen[a.AttemptID] = true
	}
	for i, from := range retries {
		count := countWithin(retries[i:], from, b.Window)
		requestCount := max(countWithin(sent, from, b.Window), countWithin(sent, from.Add(-b.Window), b.Window),
			countWithin(sent, from.Add(-b.Window/2), b.Window))
		if allowed := b.Ratio*float64(requestCount) + b.Slack; float64(count) > allowed {
			return fmt.Sprintf("%s: %d retries within %v of %s, for %d requests; allowed %.0f",
				service, count, b.Window, from.Format(timeLayout), requestCount, allowed)
		}
	}
	return ""
}

// timeLayout formats times as the logs of the processes do.
const timeLayout = "15:04:05.000"

// countWithin counts the times in the window that starts at from.
func countWithin(at []time.Time, from time.Time, window time.Duration) int {
	n := 0
	for _, t := range at {
		if !t.Before(from) && t.Before(from.Add(window)) {
			n++
		}
	}
	return n
}

// DuplicateExecution describes a non-idempotent request that ran more than once; the
// result is empty if there is none.
func DuplicateExecution(arrivals []Arrival) string {
	started := map[string]bool{}
	for _, a := range arrivals {
		if !a.NonIdempotent || !a.Started {
			continue
		}
		if started[a.AttemptID] {
			return fmt.Sprintf("%s ran twice, again at %s", a.AttemptID, a.StartedAt.Format(timeLayout))
		}
		started[a.AttemptID] = true
	}
	return ""
}

// FalseRefusal describes a request that was refused as not run although it ran; the
// result is empty if there is none.
func FalseRefusal(requests []Request, arrivals []Arrival) string {
	started := map[string]bool{}
	for _, a := range arrivals {
		if a.Started {
			started[a.AttemptID] = true
		}
	}
	for _, r := range requests {
		if (r.Status == 429 || r.Status == 503) && started[r.AttemptID] {
			return fmt.Sprintf("%s was refused as not run at %s, and ran", r.AttemptID, r.EndedAt.Format(timeLayout))
		}
	}
	return ""
}

const (
	// fairnessWindowSeconds is the length of the window over which teams are compared.
	fairnessWindowSeconds = 6
	// allowedLag is how far a team may be behind, in units of its largest request.
	allowedLag = 3
)

// FairnessViolation describes the first window in which a team had a request refused
// or late in every second and was served less than half of what it requested or of
// what the best-served team received, whichever is less. The result is empty if there
// is none.
func FairnessViolation(service string, requests []Request, arrivals []Arrival, from, until time.Time) string {
	for start := from; !start.Add(fairnessWindowSeconds * time.Second).After(until); start = start.Add(time.Second) {
		if violation := fairnessViolationFrom(service, requests, arrivals, start); violation != "" {
			return violation
		}
	}
	return ""
}

// teamWindow is the cost that a team requested and received in a window.
type teamWindow struct {
	requested   float64
	received    float64
	largestCost float64
	// delayed tells in which seconds a request was refused or late.
	delayed [fairnessWindowSeconds]bool
}

func fairnessViolationFrom(service string, requests []Request, arrivals []Arrival, start time.Time) string {
	teams := teamWindows(service, requests, arrivals, start)
	best := 0.0
	for _, t := range teams {
		best = max(best, t.received)
	}
	for name, t := range teams {
		minimum := min(t.requested, best)/2 - allowedLag*t.largestCost
		if t.delayed == [fairnessWindowSeconds]bool{true, true, true, true, true, true} && t.received < minimum {
			return fmt.Sprintf("%s: from %s team %s requested a cost of %.0f, was delayed in every second and received %.0f; the best-served team received %.0f",
				service, start.Format(timeLayout), name, t.requested, t.received, best)
		}
	}
	return ""
}

func teamWindows(service string, requests []Request, arrivals []Arrival, start time.Time) map[string]*teamWindow {
	end := start.Add(fairnessWindowSeconds * time.Second)
	teams := map[string]*teamWindow{}
	team := func(name string) *teamWindow {
		if teams[name] == nil {
			teams[name] = &teamWindow{}
		}
		return teams[name]
	}
	for i := range requests {
		r := &requests[i]
		if r.Service != service || r.EndedAt.Before(start) || !r.SentAt.Before(end) {
			continue
		}
		t := team(r.Team)
		if !r.SentAt.Before(start) {
			t.requested += r.Cost
			t.largestCost = max(t.largestCost, r.Cost)
		}
		for second := range t.delayed {
			t.delayed[second] = t.delayed[second] || r.delayedIn(start.Add(time.Duration(second)*time.Second))
		}
	}
	for _, a := range arrivals {
		if a.Service == service && a.Started && !a.StartedAt.Before(start) && a.StartedAt.Before(end) {
			team(a.Team).received += a.Cost
		}
	}
	return teams
}
