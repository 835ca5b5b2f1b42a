package warmup_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

const (
	// step is the time between two attempts of each simulated gateway to send.
	step = 25 * time.Millisecond
	// simulated is the simulated time; upstreams are cold for most of it.
	simulated = 4 * time.Second
	// maxJitter is by how much the arrival of a request may vary.
	maxJitter = 40 * time.Millisecond
)

// simulatedGateway is a gateway that sends to cold upstreams as often as it may.
type simulatedGateway struct {
	index   int
	members *warmup.Members
	tracker *warmup.Tracker
	// coldKnownAt is when the gateway learns of the cold upstreams, and joinKnownAt when
	// it learns of the new gateway.
	coldKnownAt, joinKnownAt time.Duration
	// restartAt is when it restarts next, and listedAt when it then knows the registered
	// gateways.
	restartAt, listedAt time.Duration
}

// world is what all simulated gateways of a run share.
type world struct {
	random *rand.Rand
	limits warmup.Limits
	settle time.Duration
	// listed and listedBefore are the store's lists of gateways with and without the new
	// one.
	listed, listedBefore map[fleet.NodeID]fleet.FailureDomainID
	upstreams            []warmup.Upstream
}

// never is the time of a message that is lost and of an event that does not happen.
const never = time.Hour

// delay returns a time of up to limit, or never with a probability of a sixth.
func delay(r *rand.Rand, limit time.Duration) time.Duration {
	if r.IntN(6) == 0 {
		return never
	}
	return time.Duration(r.Int64N(int64(limit)))
}

// newGateways returns gateways of which number 0 is new: the others learn of it at
// different times or, if they are cut off, never. Some or all restart again and again.
// Only gateways of the region of the upstreams send, so the others are left out.
func (w *world) newGateways(count int) []*simulatedGateway {
	r := w.random
	var gateways []*simulatedGateway
	stable := r.IntN(3)
	for i := 0; i < count; i += len(regions) {
		g := &simulatedGateway{
			index: i, members: newMembers(i, w.settle), tracker: warmup.NewTracker(w.limits),
			coldKnownAt: delay(r, time.Second), joinKnownAt: delay(r, 3*time.Second), restartAt: never, listedAt: never,
		}
		if r.IntN(3) >= stable {
			g.restartAt = delay(r, simulated)
		}
		if i == 0 {
			g.members.SetRegistered(start, w.listed)
		} else {
			g.members.SetRegistered(start.Add(-time.Minute), w.listedBefore)
		}
		gateways = append(gateways, g)
	}
	return gateways
}

// advance applies the events that are due by now.
func (g *simulatedGateway) advance(w *world, now time.Duration) {
	at := start.Add(now)
	changed := now == 0
	due := func(event *time.Duration) bool {
		if now < *event {
			return false
		}
		*event = never
		changed = true
		return true
	}
	if due(&g.restartAt) {
		g.members = newMembers(g.index, 0)
		g.tracker = warmup.NewTracker(w.limits)
		g.coldKnownAt = now
		g.listedAt = now + delay(w.random, 100*time.Millisecond)
		g.restartAt = now + delay(w.random, 300*time.Millisecond)
	}
	if due(&g.listedAt) {
		g.members.SetRegistered(at, w.listed)
	}
	if due(&g.joinKnownAt) {
		g.members.MarkConnected(at, gatewayID(0), domainOf(0))
	}
	if due(&g.coldKnownAt) {
		for _, u := range w.upstreams {
			g.tracker.MarkCold(at, u, start.Add(simulated), warmup.Registered)
		}
	}
	if changed {
		g.tracker.SetFleet(g.members.Fleet(regions))
	}
}

// run returns the arrival times at each upstream. A gateway that does not know that an
// upstream exists sends it nothing.
func (w *world) run(count int) map[fleet.UpstreamID][]time.Time {
	gateways := w.newGateways(count)
	arrivals := make(map[fleet.UpstreamID][]time.Time)
	for now := time.Duration(0); now < simulated; now += step {
		at := start.Add(now)
		for _, g := range gateways {
			g.advance(w, now)
			for _, u := range w.upstreams {
				if g.coldKnownAt != never || !g.tracker.MaySend(at, u.ID) {
					continue
				}
				if _, cold := g.tracker.Period(at, u.ID); !cold {
					continue
				}
				g.tracker.RecordSend(at, u.ID)
				arrivals[u.ID] = append(arrivals[u.ID], at.Add(time.Duration(w.random.Int64N(int64(maxJitter)))))
			}
		}
	}
	return arrivals
}

// sentByNewGateway returns upstreams of which gateway 0 is a sender.
func sentByNewGateway(count int) []warmup.Upstream {
	members := newMembers(0, 0)
	members.SetRegistered(start, registered(count))
	tracker := warmup.NewTracker(limits)
	tracker.SetFleet(members.Fleet(regions))
	var out []warmup.Upstream
	for i := 0; len(out) < 3; i++ {
		u := warmup.Upstream{ID: fleet.UpstreamID(fmt.Sprint("u", i)), Region: "r0"}
		tracker.MarkCold(start, u, start.Add(time.Second), warmup.Registered)
		if period, _ := tracker.Period(start, u.ID); period.Sender {
			out = append(out, u)
		}
	}
	return out
}

// Guards against more requests to a cold upstream than its bound in any sliding second,
// while gateways disagree on the members: messages are lost or late, some gateways are cut
// off, one is new and others restart and forget what they have sent.
func TestBoundHoldsWhileGatewaysDisagree(t *testing.T) {
	for _, count := range []int{27, 300} {
		t.Run(fmt.Sprint(count, " gateways"), func(t *testing.T) {
			w := &world{listed: registered(count), listedBefore: registered(count, 0), upstreams: sentByNewGateway(count)}
			rapid.Check(t, func(t *rapid.T) {
				w.limits = limits
				w.limits.Rate = rapid.SampledFrom([]float64{12, 6.9, 2, 40}).Draw(t, "rate")
				w.settle = rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "settle")
				w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
				for id, times := range w.run(count) {
					slices.SortFunc(times, time.Time.Compare)
					for i := range times {
						end := i
						for end < len(times) && times[end].Sub(times[i]) < time.Second {
							end++
						}
						if float64(end-i) > w.limits.Bound() {
							t.Fatalf("%s receives %d requests within a second, %.2f allowed", id, end-i, w.limits.Bound())
						}
					}
				}
			})
		})
	}
}
