package soak

import (
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a check that passes requests to a server that has told the gateway that it leaves,
// or blames gateways that were not told or were disrupted.
func TestArrivalAtAServerThatSaysItLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		from   string
		after  time.Duration
		gap    *gap
		broken bool
	}{
		"in time":                   {from: "g", after: drainWithin - time.Second},
		"late":                      {from: "g", after: drainWithin + time.Second, broken: true},
		"of another gateway":        {from: "other", after: drainWithin + time.Second},
		"of a disrupted gateway":    {from: "g", after: drainWithin + time.Second, gap: &gap{begin: time.Now().Add(time.Second)}},
		"disrupted before the news": {from: "g", after: drainWithin + time.Second, gap: &gap{begin: noon, end: noon}, broken: true},
	} {
		rules, n := newTestRules(), &selfReport{}
		if c.gap != nil {
			rules.disruptions = map[string][]*gap{"g": {c.gap}}
		}
		n.say(true, false)
		response := httptest.NewRecorder()
		n.announce(response, listener{server: "s", gateway: "g"})()
		NewWithT(t).Expect(response.Header().Get(headerLeaving)).To(Equal("1"))
		rules.checkReports(Arrival{Gateway: c.from, Server: "s", ReceivedAt: time.Now().Add(c.after)}, n)
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), name)
	}
}

// Guards against a check that passes a third request to a server that has asked for a pause, or
// counts those before and after it.
func TestArrivalsAtAPausedServer(t *testing.T) {
	const length = 3 * time.Second
	for name, c := range map[string]struct {
		after    time.Duration
		arrivals int
		broken   bool
	}{
		"two":              {after: time.Second, arrivals: 2},
		"three":            {after: time.Second, arrivals: 3, broken: true},
		"three at once":    {after: pauseSlack - time.Millisecond, arrivals: 3},
		"three at the end": {after: length, arrivals: 3},
	} {
		rules, n := newTestRules(), &selfReport{}
		n.toldPauses = map[listener][]*toldPause{{server: "s", gateway: "g"}: {{from: noon.Add(pauseSlack), until: noon.Add(length)}}}
		for range c.arrivals {
			rules.checkReports(Arrival{Gateway: "g", Server: "s", ReceivedAt: noon.Add(c.after)}, n)
		}
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), name)
	}
}
