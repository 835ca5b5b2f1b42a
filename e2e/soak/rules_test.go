package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newTestRules() *Rules {
	return &Rules{
		Region: func(failureDomain string) string { return map[string]string{"z1": "r1", "z2": "r2"}[failureDomain] },
		Homes: func(team, path string) (ofTeam, ofRoute []string) {
			return map[string][]string{"t": {"r1", "r2"}}[team], map[string][]string{"/home/": {"r1"}}[path]
		},
		EvacuateWithin: time.Second,
	}
}

// Guards against a check that passes requests outside their home regions.
func TestArrivalOutsideItsHomeRegions(t *testing.T) {
	for _, c := range []struct {
		team, path, failureDomain string
		broken                    bool
	}{
		{"other", "/", "z2", false}, {"other", "/", "z9", false},
		{"other", "/home/", "z1", false}, {"other", "/home/", "z2", true},
		{"t", "/", "z2", false}, {"t", "/home/", "z2", true}, {"t", "/", "z9", true},
	} {
		rules := newTestRules()
		rules.check(Arrival{Team: c.team, Path: c.path, ReceivedAt: noon}, c.failureDomain, 0)
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), "%+v", c)
	}
}

// Guards against a check that accepts late requests, or blames a gateway that could not
// know of the evacuation in time.
func TestArrivalAtAnEvacuatedUpstream(t *testing.T) {
	for _, c := range []struct {
		name    string
		gap     *gap
		arrival int
		broken  bool
	}{
		{"within the bound", nil, 1000, false},
		{"later", nil, 1001, true},
		{"a gap before the evacuation", &gap{begin: at(-900), end: at(-1)}, 1001, true},
		{"within the bound of the end of a gap", &gap{begin: at(-900), end: at(500)}, 1500, false},
		{"later than that", &gap{begin: at(-900), end: at(500)}, 1501, true},
		{"in a gap", &gap{begin: at(1000)}, 5000, false},
		{"in a gap that began when it was in force", &gap{begin: at(1001)}, 5000, true},
	} {
		rules := newTestRules()
		rules.evacuations = map[string]time.Time{"z1": noon}
		if c.gap != nil {
			rules.gaps = map[string][]*gap{"g": {c.gap}}
		}
		rules.check(Arrival{Gateway: "g", ReceivedAt: at(c.arrival)}, "z1", 0)
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), c.name)
	}
}

// Guards against a check that passes one request too many at a cold upstream.
func TestArrivalsAtAColdUpstream(t *testing.T) {
	for coldArrivals, broken := range map[int]bool{0: false, 15: false, 16: true} {
		rules := newTestRules()
		rules.ColdBound = 15.35
		rules.check(Arrival{ReceivedAt: noon}, "z1", coldArrivals)
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(broken), "%d", coldArrivals)
	}
}

// Guards against a check that passes requests with a part that crashes upstreams, or counts
// those that come in time or from a disrupted gateway.
func TestArrivalsWithACrashingPart(t *testing.T) {
	late := stableWindow + time.Second
	for _, c := range []struct {
		name     string
		crashes  int
		after    time.Duration
		arrivals int
		gap      *gap
		broken   bool
	}{
		{"three are allowed", 5, late, 3, nil, false},
		{"four are not", 5, late, 4, nil, true},
		{"four crashes", 4, late, 4, nil, false},
		{"within the stable window", 5, stableWindow - time.Second, 4, nil, false},
		{"from a gateway in a disruption", 5, late, 4, &gap{}, false},
		{"from a gateway after a disruption long ago", 5, 2 * late, 4, &gap{end: time.Now()}, true},
	} {
		rules := newTestRules()
		for range c.crashes {
			rules.recordCrash("crash-1")
		}
		if c.gap != nil {
			rules.disruptions = map[string][]*gap{"g": {c.gap}}
		}
		for range c.arrivals {
			rules.checkPart(Arrival{Gateway: "g", ReceivedAt: time.Now().Add(c.after)}, "crash-1")
		}
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), c.name)
	}
}

// Guards against a check that passes one request too many at an upstream that names a limit, or
// counts requests that came early, from a gateway that has not heard of it, or after its end.
func TestArrivalsAtALimitedUpstream(t *testing.T) {
	const allowed = 17 // 2 * 1.5 * 4 + 5
	for _, c := range []struct {
		name     string
		heard    bool
		after    time.Duration
		arrivals int
		ended    bool
		broken   bool
	}{
		{"as many as allowed", true, stableWindow, allowed, false, false},
		{"one more", true, stableWindow, allowed + 1, false, true},
		{"within the stable window", true, stableWindow / 2, allowed + 1, false, false},
		{"from a gateway that has not heard", false, stableWindow, allowed + 1, false, false},
		{"after the end", true, stableWindow, allowed + 1, true, false},
	} {
		rules := newTestRules()
		var l namedLimit
		l.begin(2)
		l.header("other")
		if c.heard {
			NewWithT(t).Expect(l.header("g")).To(Equal("2"))
		}
		if c.ended {
			l.end()
		}
		for range c.arrivals {
			rules.checkLimit(Arrival{Gateway: "g", ReceivedAt: time.Now().Add(c.after)}, &l)
		}
		NewWithT(t).Expect(rules.Violation() != "").To(Equal(c.broken), c.name)
	}
}
