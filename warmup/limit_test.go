package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// The bound on the requests to an upstream that names a limit: within limitWindow it may get
// limitOverage times what the limit allows, and limitSlack more, from the gateways that have
// heard of the limit for heardFor. It holds from limitSettle after the limit was first named.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	heardFor     = 500 * time.Millisecond
	limitSettle  = 4 * time.Second
	// limitTime is the simulated time of a limit.
	limitTime = 10 * time.Second
	// limitStep is the time between two attempts of each simulated gateway to send.
	limitStep = 50 * time.Millisecond
)

func named(rate float64) *float64 { return &rate }

// limitedGateway is a gateway that sends to a limited upstream as often as it may.
type limitedGateway struct {
	tracker *warmup.Tracker
	// heardAt is when a response first named the limit; never if none has.
	heardAt time.Duration
	// toldAt is when the message of another gateway arrives, and told what it says.
	toldAt time.Duration
	told   warmup.NamedLimit
	// restartAt is when it restarts next, and restartedAt when it did last.
	restartAt, restartedAt time.Duration
}

// newLimitedTracker returns the tracker of a gateway that has run for long.
func newLimitedTracker(i int, list map[fleet.NodeID]fleet.FailureDomainID) *warmup.Tracker {
	members := newMembers(i, 0)
	members.SetRegistered(start.Add(-time.Hour), list)
	tracker := warmup.NewTracker(warmup.Limits{})
	tracker.SetFleet(members.Fleet(regions))
	return tracker
}

// limitRun is one upstream that names a limit from the start, and the gateways.
type limitRun struct {
	random   *rand.Rand
	rate     float64
	list     map[fleet.NodeID]fleet.FailureDomainID
	gateways []*limitedGateway
	// counted holds when the requests arrived that the bound counts.
	counted []time.Duration
}

func newLimitRun(random *rand.Rand, rate float64, count int) *limitRun {
	r := &limitRun{random: random, rate: rate, list: registered(count)}
	for i := range count {
		g := &limitedGateway{tracker: newLimitedTracker(i, r.list), heardAt: never, toldAt: never, restartAt: never, restartedAt: -never}
		if random.IntN(8) == 0 {
			g.restartAt = delay(random, limitTime)
		}
		r.gateways = append(r.gateways, g)
	}
	return r
}

// step lets each gateway send once, if it may.
func (r *limitRun) step(now time.Duration) {
	at := start.Add(now)
	for i, g := range r.gateways {
		if now >= g.restartAt {
			*g = limitedGateway{tracker: newLimitedTracker(i, r.list), heardAt: never, toldAt: never, restartAt: never, restartedAt: now}
		}
		if now >= g.toldAt {
			g.tracker.MergeLimit(at, g.told)
			g.toldAt = never
		}
		if !g.tracker.WithinLimit(at, engine.ID, 0) {
			continue
		}
		g.tracker.RecordSend(at, engine.ID)
		if now-g.heardAt >= heardFor && now-g.restartedAt >= limitSettle {
			r.counted = append(r.counted, now)
		}
		if g.heardAt == never {
			g.heardAt = now
		}
		if l, changed := g.tracker.ObserveLimit(at, at, engine, named(r.rate)); changed {
			r.tell(now, l)
		}
	}
}

// tell sends a change to all gateways; some messages are late or lost.
func (r *limitRun) tell(now time.Duration, l warmup.NamedLimit) {
	for _, g := range r.gateways {
		if arrives := now + delay(r.random, time.Second); arrives < g.toldAt {
			g.toldAt, g.told = arrives, l
		}
	}
}

// Guards against more requests than an upstream's limit allows from all gateways together in
// any four seconds: at limits below one request a second for each gateway, while messages are
// late or lost, gateways restart, and each sends as often as it may.
func TestNamedLimitHoldsForTheSumOfAllGateways(t *testing.T) {
	for _, count := range []int{1, 2, 5, 27, 300} {
		t.Run(fmt.Sprint(count, " gateways"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				rate := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1.2, 1.9, 3.4, 5.4, 12.7, 40, 400}).Draw(t, "rate")
				r := newLimitRun(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), rate, count)
				for now := time.Duration(0); now < limitTime; now += limitStep {
					r.step(now)
				}
				first := 0
				allowed := limitOverage*rate*limitWindow.Seconds() + limitSlack
				for last, at := range r.counted {
					for at-r.counted[first] >= limitWindow || r.counted[first] < limitSettle && first < last {
						first++
					}
					if got := last - first + 1; float64(got) > allowed {
						t.Fatalf("%d requests within 4 s until %v, %.1f allowed", got, at, allowed)
					}
				}
			})
		})
	}
}

// Guards against a limit that is kept so strictly that most of it is unused.
func TestNamedLimitIsUsed(t *testing.T) {
	const simulated = 30 * time.Second
	for _, count := range []int{1, 2, 5, 27} {
		for _, rate := range []float64{0.5, 3.4, 12.7} {
			g := NewWithT(t)
			r := newLimitRun(rand.New(rand.NewPCG(1, 0)), rate, count)
			for _, gateway := range r.gateways {
				gateway.restartAt = never
			}
			for now := time.Duration(0); now < simulated; now += limitStep {
				r.step(now)
			}
			g.Expect(float64(len(r.counted))).To(BeNumerically(">=", 0.7*rate*(simulated-time.Second).Seconds()), "%d gateways, %v", count, rate)
		}
	}
}

// Guards against a limit that outlives the need or is lifted too early: by a response to a
// request of before, by an old message, or by one about an earlier incarnation.
func TestEndAndChangeOfANamedLimit(t *testing.T) {
	g := NewWithT(t)
	tracker := newLimitedTracker(0, registered(1))
	rate := func() float64 {
		l, _, ok := tracker.Limit(engine.ID)
		if !ok {
			return -1
		}
		return l.Rate
	}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	_, changed := tracker.ObserveLimit(at(0), at(0), engine, nil)
	g.Expect(changed).To(BeFalse(), "no limit before either")
	first, changed := tracker.ObserveLimit(at(1), at(0), engine, named(4))
	g.Expect(changed).To(BeTrue())
	_, changed = tracker.ObserveLimit(at(2), at(2), engine, named(4.1))
	g.Expect(changed).To(BeFalse(), "a small variation")
	_, changed = tracker.ObserveLimit(at(2), at(2), engine, named(2))
	g.Expect(changed).To(BeTrue())
	g.Expect(rate()).To(Equal(2.0))
	g.Expect(tracker.MergeLimit(at(2), first)).To(BeFalse(), "an old message")
	_, changed = tracker.ObserveLimit(at(3), at(1), engine, nil)
	g.Expect(changed).To(BeFalse(), "sent before the change was known")
	ended, changed := tracker.ObserveLimit(at(4), at(3), engine, nil)
	g.Expect(changed).To(BeTrue())
	g.Expect(rate()).To(Equal(-1.0))
	g.Expect(tracker.WithinLimit(at(4), engine.ID, 0)).To(BeTrue())
	g.Expect(tracker.MergeLimit(at(4), ended)).To(BeFalse())
	concurrent := ended
	concurrent.Ended, concurrent.Rate = false, 1
	g.Expect(tracker.MergeLimit(at(4), concurrent)).To(BeTrue(), "of two changes at the same time the limit counts")
	g.Expect(rate()).To(Equal(1.0))

	next := engine
	next.StartedUnixMs = 2
	tracker.RegisterUpstreams(at(5), []warmup.Upstream{next})
	g.Expect(rate()).To(Equal(-1.0), "another incarnation")
	_, changed = tracker.ObserveLimit(at(5), at(5), next, named(3))
	g.Expect(changed).To(BeTrue())
	g.Expect(tracker.MergeLimit(at(5), concurrent)).To(BeFalse(), "an earlier incarnation")
	g.Expect(rate()).To(Equal(3.0))
	tracker.RegisterUpstreams(at(6), nil)
	g.Expect(rate()).To(Equal(3.0), "registered again soon")
	tracker.RegisterUpstreams(at(600), nil)
	g.Expect(tracker.NamedLimits()).To(BeEmpty())
}

// Guards against Retry-After times of hours where other gateways may send soon.
func TestNextRequestWithinANamedLimit(t *testing.T) {
	g := NewWithT(t)
	senders := 0
	for i := range 27 {
		tracker := newLimitedTracker(i, registered(27))
		tracker.MergeLimit(start, warmup.NamedLimit{Upstream: engine, Rate: 2, Version: 1})
		_, sender, _ := tracker.Limit(engine.ID)
		if !sender {
			g.Expect(tracker.NextWithinLimit(start, engine.ID, 0)).To(Equal(start.Add(500 * time.Millisecond)))
			continue
		}
		senders++
		g.Expect(tracker.NextWithinLimit(start, engine.ID, 0)).To(Equal(start))
		tracker.RecordSend(start, engine.ID)
		g.Expect(tracker.NextWithinLimit(start, engine.ID, 0)).To(Equal(start.Add(1500 * time.Millisecond)))
		g.Expect(tracker.NextWithinLimit(start, engine.ID, 0.5)).To(Equal(start.Add(2250 * time.Millisecond)))
		g.Expect(tracker.WithinLimit(start.Add(2249*time.Millisecond), engine.ID, 0.5)).To(BeFalse())
		g.Expect(tracker.WithinLimit(start.Add(2250*time.Millisecond), engine.ID, 0.5)).To(BeTrue())
	}
	g.Expect(senders).To(Equal(3))
}
