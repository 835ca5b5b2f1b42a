package warmup_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/warmup"
)

var (
	start   = time.Unix(1000, 0)
	limits  = warmup.Limits{Rate: 12, Overage: 1.5, Slack: 5, ColdStart: 3 * time.Second}
	regions = map[fleet.FailureDomainID]fleet.RegionID{"d0": "r0", "d1": "r1", "d2": "r2"}
	engine  = warmup.Upstream{ID: "u1", Region: "r1", StartedUnixMs: 1}
)

func gatewayID(i int) fleet.NodeID { return fleet.NodeID(fmt.Sprint("g", i)) }

func domainOf(i int) fleet.FailureDomainID { return fleet.FailureDomainID(fmt.Sprint("d", i%3)) }

func newMembers(i int, settle time.Duration) *warmup.Members {
	return warmup.NewMembers(warmup.MembersOptions{Self: gatewayID(i), Domain: domainOf(i), TTL: time.Hour, Settle: settle})
}

// registered returns the store's list of gateways up to count, without some.
func registered(count int, without ...int) map[fleet.NodeID]fleet.FailureDomainID {
	out := make(map[fleet.NodeID]fleet.FailureDomainID)
	for i := range count {
		out[gatewayID(i)] = domainOf(i)
	}
	for _, i := range without {
		delete(out, gatewayID(i))
	}
	return out
}

// single returns the tracker of the only gateway.
func single() *warmup.Tracker {
	members := newMembers(1, 0)
	members.SetRegistered(start.Add(-time.Minute), registered(0))
	tracker := warmup.NewTracker(limits)
	tracker.SetFleet(members.Fleet(regions))
	return tracker
}

// Guards against sends in bursts, and against refused callers that come back too early.
func TestSendsAreSpaced(t *testing.T) {
	g := NewWithT(t)
	tracker := single()
	tracker.MarkCold(start, engine, start.Add(3*time.Second), warmup.Registered)
	g.Expect(tracker.MaySend(start, "u1")).To(BeTrue())
	tracker.RecordSend(start, "u1")
	g.Expect(tracker.MaySend(start.Add(249*time.Millisecond), "u1")).To(BeFalse())
	g.Expect(tracker.NextSend(start, "u1")).To(Equal(start.Add(250 * time.Millisecond)))
	g.Expect(tracker.MaySend(start.Add(250*time.Millisecond), "u1")).To(BeTrue())
	g.Expect(tracker.MaySend(start, "u2")).To(BeTrue(), "not cold")
	g.Expect(tracker.MaySend(start.Add(3*time.Second), "u1")).To(BeTrue(), "not cold any more")
	_, cold := tracker.Period(start.Add(3*time.Second), "u1")
	g.Expect(cold).To(BeFalse())
}

// Guards against an upstream that is stated to be cold and counts as cold only because of an
// ejection, whichever of the two was known first.
func TestEjectionDoesNotReplaceAnotherCause(t *testing.T) {
	g := NewWithT(t)
	for name, causes := range map[string][]warmup.Cause{
		"ejected last":  {warmup.Registered, warmup.Ejected},
		"ejected first": {warmup.Ejected, warmup.Registered},
	} {
		for _, ends := range [][]time.Duration{{2 * time.Second, 4 * time.Second}, {4 * time.Second, 2 * time.Second}} {
			tracker := single()
			for i, cause := range causes {
				tracker.MarkCold(start, engine, start.Add(ends[i]), cause)
			}
			period, _ := tracker.Period(start, "u1")
			g.Expect(period.Cause).To(Equal(warmup.Registered), "%s, ends %v", name, ends)
			g.Expect(period.Until).To(Equal(start.Add(4*time.Second)), "%s, ends %v", name, ends)
			g.Expect(tracker.TakeBegun()).To(HaveLen(1), "%s, ends %v", name, ends)
		}
	}
	tracker := single()
	tracker.MarkCold(start, engine, start.Add(time.Second), warmup.Registered)
	tracker.MarkCold(start.Add(time.Second), engine, start.Add(2*time.Second), warmup.Ejected)
	period, _ := tracker.Period(start.Add(time.Second), "u1")
	g.Expect(period.Cause).To(Equal(warmup.Ejected), "the stated period has ended")
}

// Guards against a later, shorter cold time ending the period early, and against the period
// of an ejection outlasting that of the incarnation that has started since.
func TestEndOfAPeriod(t *testing.T) {
	g := NewWithT(t)
	tracker := single()
	tracker.MarkCold(start, engine, start.Add(9*time.Second), warmup.Ejected)
	tracker.MarkCold(start, engine, start.Add(2*time.Second), warmup.Registered)
	period, _ := tracker.Period(start, "u1")
	g.Expect(period.Until).To(Equal(start.Add(9 * time.Second)))
	next := engine
	next.StartedUnixMs = 2
	tracker.MarkCold(start, next, start.Add(3*time.Second), warmup.Restarted)
	period, _ = tracker.Period(start, "u1")
	g.Expect(period.Until).To(Equal(start.Add(3 * time.Second)))
	g.Expect(tracker.TakeBegun()).To(HaveLen(2))
	g.Expect(tracker.TakeBegun()).To(BeEmpty())
}

func TestServicesWithoutLimitHaveNoColdUpstreams(t *testing.T) {
	g := NewWithT(t)
	tracker := warmup.NewTracker(warmup.Limits{ColdStart: 3 * time.Second})
	tracker.MarkCold(start, engine, start.Add(3*time.Second), warmup.Registered)
	g.Expect(tracker.MaySend(start, "u1")).To(BeTrue())
	g.Expect(tracker.TakeBegun()).To(BeEmpty())
}

// senders returns the gateways that are senders of an upstream.
func senders(count int, upstream warmup.Upstream, list map[fleet.NodeID]fleet.FailureDomainID) []int {
	var out []int
	for i := range count {
		members := newMembers(i, 0)
		members.SetRegistered(start, list)
		tracker := warmup.NewTracker(limits)
		tracker.SetFleet(members.Fleet(regions))
		tracker.MarkCold(start, upstream, start.Add(time.Second), warmup.Registered)
		if period, _ := tracker.Period(start, upstream.ID); period.Sender {
			out = append(out, i)
		}
	}
	return out
}

// Guards against senders in other regions, which callers of the upstream's region do not
// reach, and against an upstream without senders.
func TestSendersAreOfTheRegionOfTheUpstream(t *testing.T) {
	g := NewWithT(t)
	all := registered(27)
	for _, i := range senders(27, engine, all) {
		g.Expect(i % 3).To(Equal(1))
	}
	g.Expect(senders(27, engine, all)).To(HaveLen(3))
	g.Expect(senders(27, warmup.Upstream{ID: "u1", Region: "r9"}, all)).To(HaveLen(3), "a region without gateways")
	g.Expect(senders(2, engine, registered(2))).To(Equal([]int{1}), "fewer gateways than senders")
}

// Guards against gateways taking over from each other in a partition, and against sends of
// a gateway that does not know the others yet.
func TestMembersStayAfterTheyAreGone(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(1, 2*time.Second)
	tracker := warmup.NewTracker(limits)
	tracker.MarkCold(start, engine, start.Add(time.Hour), warmup.Registered)
	g.Expect(members.MarkConnected(start, "g4", "d1")).To(BeTrue())
	tracker.SetFleet(members.Fleet(regions))
	g.Expect(tracker.MaySend(start, "u1")).To(BeFalse())
	g.Expect(members.SetRegistered(start, registered(3))).To(BeTrue())
	g.Expect(members.Fleet(regions).Size()).To(Equal(4))
	tracker.SetFleet(members.Fleet(regions))
	g.Expect(tracker.MaySend(start.Add(time.Second), "u1")).To(BeFalse(), "the others may not know this gateway yet")
	g.Expect(tracker.MaySend(start.Add(2*time.Second), "u1")).To(BeTrue())
	g.Expect(members.MarkConnected(start, "g0", "d0")).To(BeFalse())
	g.Expect(members.MarkConnected(start, "g2", "d2")).To(BeTrue(), "all others know this gateway")
	tracker.SetFleet(members.Fleet(regions))
	g.Expect(tracker.MaySend(start.Add(time.Second), "u1")).To(BeTrue())
	g.Expect(members.SetRegistered(start.Add(time.Minute), registered(2))).To(BeFalse())
	g.Expect(members.Fleet(regions).Size()).To(Equal(4), "not registered any more, but seen")
	g.Expect(members.SetRegistered(start.Add(2*time.Hour), registered(2))).To(BeTrue())
	g.Expect(members.Fleet(regions).Size()).To(Equal(2))
}
