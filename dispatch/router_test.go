package dispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

var home = fleet.Location{Region: "noord", FailureDomain: "fd0"}

// request returns a request of a team for the service "chat".
func request(id RequestID, team fleet.TeamID) Request {
	return Request{ID: id, Service: testService, Team: team, Bytes: 10, SpillAfter: time.Second}
}

func withDeadline(req Request, d time.Duration) Request {
	req.Deadline = at(d)
	return req
}

// addSidecar connects a sidecar; with free < 0 its slots stay unknown.
func addSidecar(r *Router, id fleet.NodeID, place fleet.Location, slots, free int) {
	r.Step(start, SidecarUp{Sidecar: id, Service: testService, Location: place})
	if free >= 0 {
		r.Step(start, SidecarLoad{Sidecar: id, Slots: slots, FreeSlots: free, Accepting: true})
	}
}

// announcedTo returns the sidecars that non-zero demand was sent to.
func announcedTo(actions []RouterAction) []fleet.NodeID {
	var ids []fleet.NodeID
	for _, d := range collect[SendDemand](actions) {
		if d.Waiting > 0 {
			ids = append(ids, d.Sidecar)
		}
	}
	return ids
}

// tickUntil fires every timer up to the time and returns the actions.
func tickUntil(r *Router, until time.Time) []RouterAction {
	var actions []RouterAction
	for {
		wake, ok := r.NextWake()
		if !ok || wake.After(until) {
			return actions
		}
		actions = append(actions, r.Step(wake, TickRouter{})...)
	}
}

var _ = Describe("Router limits", func() {
	type limitCase struct {
		limits   Limits
		waiting  string // the teams of the waiting requests, in order of their ids
		arriving Request
		refused  []Refuse
	}
	refusal := func(id RequestID, reason RefuseReason) []Refuse {
		return []Refuse{{Request: id, Reason: reason, RetryAfter: unknownRetryAfter}}
	}
	big := func(bytes int64) Request {
		req := request(9, "b")
		req.Bytes = bytes
		return req
	}
	DescribeTable("refuse", func(c limitCase) {
		r := NewRouter(RouterConfig{Location: home})
		for i, team := range c.waiting {
			r.Step(start, Arrive{request(RequestID(i+1), fleet.TeamID(team))})
		}
		r.Step(start, UpdateLimits{c.limits})
		actions := r.Step(start, Arrive{c.arriving})
		Expect(collect[Refuse](actions)).To(Equal(c.refused))
	},
		Entry("nothing below the limits", limitCase{Limits{3, 4, 40}, "aab", request(9, "a"), nil}),
		Entry("the arriving request of a full queue",
			limitCase{Limits{TeamWaiting: 2}, "aab", request(9, "a"), refusal(9, ReasonTeamLimit)}),
		Entry("the newest of the largest team for a smaller one",
			limitCase{Limits{RouterWaiting: 4}, "aaab", request(9, "b"), refusal(3, ReasonRouterLimit)}),
		Entry("the arriving request of the largest team",
			limitCase{Limits{RouterWaiting: 4}, "aaab", request(9, "a"), refusal(9, ReasonRouterLimit)}),
		Entry("the arriving request if its team would be the largest",
			limitCase{Limits{RouterWaiting: 4}, "aabb", request(9, "b"), refusal(9, ReasonRouterLimit)}),
		Entry("as many as free the bytes", limitCase{Limits{RouterBytes: 60}, "aaaaaa", big(20), []Refuse{
			{6, ReasonRouterLimit, unknownRetryAfter}, {5, ReasonRouterLimit, unknownRetryAfter}}}),
		Entry("a request that holds more than the largest team",
			limitCase{Limits{RouterBytes: 60}, "aaaa", big(50), refusal(9, ReasonRouterLimit)}),
		Entry("a request that can never fit",
			limitCase{Limits{RouterBytes: 60}, "", big(61), refusal(9, ReasonRouterLimit)}),
	)

	It("refuses arrivals while stopping and goes on with what waits", func() {
		r := NewRouter(RouterConfig{Location: home})
		addSidecar(r, "s", home, 2, 2)
		r.Step(start, Arrive{request(1, "a")})
		r.Step(start, StopAccepting{})
		Expect(r.Step(start, Arrive{request(2, "a")})).To(Equal([]RouterAction{
			Refuse{Request: 2, Reason: ReasonStopping, RetryAfter: minRetryAfter}}))
		grant := GrantReceived{Sidecar: "s", GrantID: 7, Team: "a", Expires: at(time.Second)}
		Expect(r.Step(start, grant)).To(ContainElement(Bind{Request: 1, Sidecar: "s", GrantID: 7}))
	})
})

var _ = Describe("Router deadlines", func() {
	It("refuses when the deadline passes", func() {
		r := NewRouter(RouterConfig{Location: home})
		r.Step(start, Arrive{withDeadline(request(1, "a"), 300*time.Millisecond)})
		Expect(collect[Refuse](tickUntil(r, at(299*time.Millisecond)))).To(BeEmpty())
		Expect(collect[Refuse](tickUntil(r, at(300*time.Millisecond)))).To(Equal(
			[]Refuse{{Request: 1, Reason: ReasonDeadline, RetryAfter: unknownRetryAfter}}))
		Expect(collect[Refuse](r.Step(at(time.Second), Requeue{withDeadline(request(1, "a"), 0)}))).To(HaveLen(1))
	})

	DescribeTable("refuses on arrival what cannot be reached in time",
		func(ahead int, each, deadline time.Duration, reason RefuseReason, lo, hi time.Duration) {
			r := NewRouter(RouterConfig{Location: home})
			addSidecar(r, "s", home, 1, 1)
			for id := range RequestID(ahead + 10) {
				r.Step(start, Arrive{request(id+1, "a")})
			}
			now := time.Duration(0)
			for id := range uint64(10) {
				now += each
				r.Step(at(now), GrantReceived{Sidecar: "s", GrantID: id, Team: "a", Expires: at(now + time.Second)})
			}
			refused := collect[Refuse](r.Step(at(now), Arrive{withDeadline(request(999, "a"), now+deadline)}))
			if reason == 0 {
				Expect(refused).To(BeEmpty())
				return
			}
			Expect(refused).To(HaveLen(1))
			Expect(refused[0].Reason).To(Equal(reason))
			Expect(refused[0].RetryAfter).To(And(BeNumerically(">=", lo), BeNumerically("<=", hi)))
		},
		Entry("20 ahead at 10/s fit into 3 s", 20, 100*time.Millisecond, 3*time.Second, RefuseReason(0), time.Duration(0), time.Duration(0)),
		Entry("20 ahead at 10/s miss 1 s", 20, 100*time.Millisecond, time.Second, ReasonExpectedWait, 1800*time.Millisecond, 2200*time.Millisecond),
		Entry("at least 1 s", 2, 100*time.Millisecond, 100*time.Millisecond, ReasonExpectedWait, time.Second, time.Second),
		Entry("at most 60 s", 700, 100*time.Millisecond, time.Second, ReasonExpectedWait, time.Minute, time.Minute),
	)
})

var _ = Describe("Router targets", func() {
	near := fleet.Location{Region: "noord", FailureDomain: "fd1"}
	far := fleet.Location{Region: "zuid", FailureDomain: "fd2"}

	It("widens from the failure domain to the region and spills to others", func() {
		r := NewRouter(RouterConfig{Location: home})
		addSidecar(r, "far", far, 1, 1)
		addSidecar(r, "near", near, 1, 0)
		addSidecar(r, "home", home, 1, 0)
		Expect(announcedTo(r.Step(start, Arrive{request(1, "a")}))).To(Equal([]fleet.NodeID{"home"}))
		Expect(announcedTo(tickUntil(r, at(9*time.Millisecond)))).To(BeEmpty())
		Expect(announcedTo(tickUntil(r, at(10*time.Millisecond)))).To(Equal([]fleet.NodeID{"near"}))
		Expect(announcedTo(tickUntil(r, at(999*time.Millisecond)))).NotTo(ContainElement(fleet.NodeID("far")))
		Expect(announcedTo(tickUntil(r, at(time.Second)))).To(ContainElement(fleet.NodeID("far")))
		// The next request has not waited for SpillAfter, so the demand in other
		// regions is withdrawn.
		r.Step(at(1100*time.Millisecond), Arrive{request(2, "a")})
		r.Step(at(1200*time.Millisecond), GrantReceived{Sidecar: "near", GrantID: 1, Team: "a", Expires: at(time.Hour)})
		Expect(collect[SendDemand](tickUntil(r, at(1600*time.Millisecond)))).To(ContainElement(
			And(HaveField("Sidecar", fleet.NodeID("far")), HaveField("Waiting", 0))))
	})

	It("never spills with a negative SpillAfter", func() {
		r := NewRouter(RouterConfig{Location: home})
		addSidecar(r, "far", far, 1, 1)
		req := request(1, "a")
		req.SpillAfter = -1
		r.Step(start, Arrive{req})
		Expect(announcedTo(tickUntil(r, at(time.Minute)))).To(BeEmpty())
	})

	It("skips empty scopes and announces to a sidecar that connects", func() {
		r := NewRouter(RouterConfig{Location: home})
		r.Step(start, Arrive{request(1, "a")})
		Expect(announcedTo(r.Step(start, SidecarUp{Sidecar: "near", Service: testService, Location: near}))).To(HaveLen(1))
		Expect(r.Step(start, SidecarLoad{Sidecar: "near", Accepting: false})).To(BeEmpty())
		Expect(announcedTo(tickUntil(r, at(time.Minute)))).To(BeEmpty())
		back := SidecarLoad{Sidecar: "near", Slots: 1, FreeSlots: 1, Accepting: true}
		Expect(announcedTo(r.Step(at(time.Minute), back))).To(Equal([]fleet.NodeID{"near"}))
	})

	It("announces to the best sidecars with free slots first, by load and by affinity", func() {
		r := NewRouter(RouterConfig{Location: home})
		for i := range 8 {
			addSidecar(r, fleet.NodeID(fmt.Sprint("s", i)), home, 4, 2)
		}
		addSidecar(r, "near", near, 4, 4)
		addSidecar(r, "idle", home, 4, 4)
		plain := announcedTo(r.Step(start, Arrive{request(1, "a")}))
		Expect(plain).To(HaveLen(2))
		Expect(plain[0]).To(Equal(fleet.NodeID("idle")))

		keyed := request(2, "b")
		keyed.AffinityKey = 42
		first := announcedTo(r.Step(start, Arrive{keyed}))
		keyed.ID, keyed.Team = 3, "c"
		Expect(announcedTo(r.Step(start, Arrive{keyed}))).To(Equal(first))
		r.Step(start, SidecarLoad{Sidecar: first[0], Slots: 4, FreeSlots: 1, Accepting: true})
		keyed.ID, keyed.Team = 4, "d"
		Expect(announcedTo(r.Step(start, Arrive{keyed}))).NotTo(ContainElement(first[0]))
	})

	It("rotates a bounded subset over a large fleet", func() {
		r := NewRouter(RouterConfig{Location: home, MaxFanout: 8})
		for i := range 40 {
			addSidecar(r, fleet.NodeID(fmt.Sprintf("s%02d", i)), home, 1, 0)
		}
		holding, seen := map[fleet.NodeID]bool{}, map[fleet.NodeID]bool{}
		actions := r.Step(start, Arrive{request(1, "a")})
		Expect(announcedTo(actions)).To(HaveLen(4), "in steps that double")
		actions = append(actions, tickUntil(r, at(15*time.Second))...)
		for _, d := range collect[SendDemand](actions) {
			delete(holding, d.Sidecar)
			if d.Waiting > 0 {
				holding[d.Sidecar], seen[d.Sidecar] = true, true
			}
			Expect(len(holding)).To(BeNumerically("<=", 8))
		}
		Expect(seen).To(HaveLen(40))
		free := SidecarLoad{Sidecar: "s00", Slots: 1, FreeSlots: 1, Accepting: true}
		r.Step(at(15*time.Second), free)
		Expect(r.services[testService].queues["a"].announcementTo(r.sidecars["s00"])).NotTo(BeNil())
	})
})

var _ = Describe("Router demand and grants", func() {
	var r *Router
	grant := func(id uint64, expires time.Duration) GrantReceived {
		return GrantReceived{Sidecar: "s", GrantID: id, Team: "a", Expires: at(expires)}
	}
	BeforeEach(func() {
		r = NewRouter(RouterConfig{Location: home})
		addSidecar(r, "s", home, 4, 4)
	})

	It("sends few messages for a burst, refreshes, and withdraws once", func() {
		var sent []SendDemand
		for id := range RequestID(1000) {
			sent = append(sent, collect[SendDemand](r.Step(start, Arrive{request(id+1, "a")}))...)
		}
		Expect(sent).To(HaveExactElements(HaveField("Waiting", 1), HaveField("Waiting", 4)), "no more than twice the slots")
		refresh := collect[SendDemand](tickUntil(r, at(500*time.Millisecond)))
		Expect(refresh).To(HaveLen(1))
		Expect(refresh[0]).To(Equal(SendDemand{
			Sidecar: "s", Team: "a", Seq: refresh[0].Seq, Waiting: 1000, OldestAge: 500 * time.Millisecond}))
		Expect(refresh[0].Seq).To(BeNumerically(">", sent[len(sent)-1].Seq))
		var last []RouterAction
		for id := range RequestID(1000) {
			last = r.Step(at(500*time.Millisecond), CancelRequest{id + 1})
		}
		Expect(collect[SendDemand](last)).To(ConsistOf(HaveField("Waiting", 0)))
		Expect(r.bytes).To(BeZero())
	})

	It("binds the oldest that does not exclude the sidecar, else declines", func() {
		excluding := request(1, "a")
		excluding.Exclude = []fleet.NodeID{"s"}
		Expect(announcedTo(r.Step(start, Arrive{excluding}))).To(BeEmpty())
		Expect(r.Step(start, grant(1, time.Second))).To(ConsistOf(BeAssignableToTypeOf(DeclineGrant{})))
		Expect(announcedTo(r.Step(start, Arrive{request(2, "a")}))).To(Equal([]fleet.NodeID{"s"}))
		Expect(r.Step(start, grant(2, time.Second))).To(Equal([]RouterAction{Bind{Request: 2, Sidecar: "s", GrantID: 2}}))
	})

	It("declines an expired grant and announces its demand again", func() {
		r.Step(start, Arrive{request(1, "a")})
		actions := r.Step(at(time.Millisecond), grant(1, time.Millisecond))
		Expect(actions).To(HaveLen(2))
		Expect(actions[0]).To(BeAssignableToTypeOf(DeclineGrant{}))
		Expect(actions[1].(SendDemand).Seq).To(BeNumerically(">", actions[0].(DeclineGrant).Seq))
	})

	It("declines while the sidecar does not accept", func() {
		r.Step(start, Arrive{request(1, "a")})
		r.Step(start, SidecarLoad{Sidecar: "s", Slots: 4, FreeSlots: 4})
		Expect(r.Step(start, grant(1, time.Second))).To(ConsistOf(BeAssignableToTypeOf(DeclineGrant{})))
	})

	It("queues a request again by its arrival", func() {
		for id := range RequestID(3) {
			r.Step(at(time.Duration(id)*time.Millisecond), Arrive{request(id+1, "a")})
		}
		r.Step(at(3*time.Millisecond), grant(1, time.Second))
		r.Step(at(3*time.Millisecond), grant(2, time.Second))
		for _, id := range []RequestID{2, 1} {
			req := request(id, "a")
			req.Arrived = at(time.Duration(id-1) * time.Millisecond)
			r.Step(at(4*time.Millisecond), Requeue{req})
		}
		var order []RequestID
		for id := range uint64(3) {
			for _, b := range collect[Bind](r.Step(at(5*time.Millisecond), grant(3+id, time.Second))) {
				order = append(order, b.Request)
			}
		}
		Expect(order).To(Equal([]RequestID{1, 2, 3}))
	})
})
