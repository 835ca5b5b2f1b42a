package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a check that passes lost requests, or takes refusals, answers and callers that
// gave up for them.
func TestRequestLostInAPlannedStop(t *testing.T) {
	stops := []plannedStop{{gateway: "g", began: at(1000), ended: at(6000)}}
	arrivals := []Arrival{{AttemptID: "a@g"}, {AttemptID: "a@other"}}
	sound := Request{Service: deskService, AttemptID: "a@g", SentAt: at(500), EndedAt: at(5700), Patience: 9 * time.Second}
	for name, c := range map[string]struct {
		change func(*Request)
		lost   bool
	}{
		"cut":                   {func(*Request) {}, true},
		"answered":              {func(r *Request) { r.Status = 502 }, false},
		"not passed on":         {func(r *Request) { r.AttemptID = "b@g" }, false},
		"at another gateway":    {func(r *Request) { r.AttemptID = "a@other" }, false},
		"given up":              {func(r *Request) { r.Patience = time.Second }, false},
		"before the stop":       {func(r *Request) { r.EndedAt = at(900) }, false},
		"of a stream":           {func(r *Request) { r.Service = modelService }, false},
		"sent late in the stop": {func(r *Request) { r.SentAt = at(5000) }, true},
	} {
		r := sound
		c.change(&r)
		NewWithT(t).Expect(LostRequest([]Request{r}, arrivals, stops) != "").To(Equal(c.lost), name)
	}
}

// Guards against a check that blames a gateway that was disrupted otherwise, or none.
func TestStopBesideADisruption(t *testing.T) {
	stop := plannedStop{gateway: "g", began: at(0), ended: at(5000)}
	for name, c := range map[string]struct {
		gap  gap
		want bool
	}{
		"the stop itself": {gap{begin: at(-1), end: at(5001)}, false},
		"long before":     {gap{begin: at(-9000), end: at(-4001)}, false},
		"just before":     {gap{begin: at(-9000), end: at(-500)}, true},
		"meanwhile":       {gap{begin: at(1000), end: at(2000)}, true},
		"after it":        {gap{begin: at(6000)}, false},
	} {
		rules := newTestRules()
		rules.disruptions = map[string][]*gap{"g": {&c.gap}}
		NewWithT(t).Expect(rules.disturbed(stop)).To(Equal(c.want), name)
	}
}

// Guards against a check that passes requests to a server that has left.
func TestArrivalAtAServerThatHasLeft(t *testing.T) {
	for arrival, broken := range map[int]bool{3000: false, 3001: true} {
		rules := newTestRules()
		rules.leaving = map[string]time.Time{"s": noon}
		rules.check(Arrival{Gateway: "g", Server: "s", ReceivedAt: at(arrival)}, "z1", 0)
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(broken), "after %d ms", arrival)
	}
}
