package dispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Sidecar", func() {
	var s *Sidecar
	var accounts *fakeAccounts
	demandOf := func(router fleet.NodeID, team fleet.TeamID, seq uint64, waiting int, age time.Duration) DemandReceived {
		return DemandReceived{Router: router, Team: team, Seq: seq, Waiting: waiting, OldestAge: age}
	}
	grants := func(d time.Duration, ev SidecarEvent) []SendGrant { return collect[SendGrant](s.Step(at(d), ev)) }
	setUp := func(cfg SidecarConfig) {
		accounts = newFakeAccounts()
		s = NewSidecar(cfg, accounts)
		s.Step(start, RouterUp{Router: "r0"})
		s.Step(start, RouterUp{Router: "r1"})
	}
	BeforeEach(func() { setUp(SidecarConfig{Slots: 1, Incarnation: 1000}) })

	It("grants to the least account, counting reserved charges", func() {
		setUp(SidecarConfig{Slots: 0})
		accounts.charged["a"], accounts.charged["b"] = 2.5, 1
		s.Step(start, demandOf("r0", "a", 1, 9, 0))
		s.Step(start, demandOf("r0", "b", 2, 9, 0))
		var teams []fleet.TeamID
		for _, g := range grants(0, SetSlots{5}) {
			teams = append(teams, g.Team)
		}
		Expect(teams).To(Equal([]fleet.TeamID{"b", "b", "a", "b", "a"}))
	})

	It("picks the router with the oldest request, then round robin", func() {
		setUp(SidecarConfig{Slots: 0})
		s.Step(start, demandOf("r0", "a", 1, 3, 0))
		s.Step(start, demandOf("r1", "a", 1, 2, time.Second))
		var routers []fleet.NodeID
		for _, g := range grants(0, SetSlots{5}) {
			routers = append(routers, g.Router)
		}
		Expect(routers).To(Equal([]fleet.NodeID{"r1", "r1", "r0", "r0", "r0"}))
		setUp(SidecarConfig{Slots: 0})
		s.Step(start, demandOf("r0", "a", 1, 2, 0))
		s.Step(start, demandOf("r1", "a", 1, 2, 0))
		routers = nil
		for _, g := range grants(0, SetSlots{4}) {
			routers = append(routers, g.Router)
		}
		Expect(routers).To(Equal([]fleet.NodeID{"r0", "r1", "r0", "r1"}))
	})

	It("grants nothing to a router that left a grant unanswered until its next message", func() {
		Expect(grants(0, demandOf("r0", "a", 1, 5, time.Second))).To(Equal(
			[]SendGrant{{Router: "r0", GrantID: 1001, Team: "a", Expires: 20 * time.Millisecond}}))
		s.Step(start, demandOf("r1", "a", 1, 5, 0))
		wake, _ := s.NextWake()
		Expect(wake).To(Equal(at(20 * time.Millisecond)))
		Expect(grants(20*time.Millisecond, TickSidecar{})).To(ConsistOf(HaveField("Router", fleet.NodeID("r1"))))
		Expect(s.Step(at(21*time.Millisecond), RequestArrived{Router: "r0", GrantID: 1001, RequestID: 1})).To(Equal(
			[]SidecarAction{RejectRequest{RequestID: 1, Reason: ReasonGrantUnknown}}))
		again := grants(22*time.Millisecond, GrantDeclined{Router: "r1", GrantID: 1002, Team: "a", Seq: 2})
		Expect(again).To(Equal([]SendGrant{{Router: "r0", GrantID: 1003, Team: "a", Expires: 40 * time.Millisecond}}))
	})

	It("holds a slot for a few round trips", func() {
		s.Step(start, RoundTrip{Router: "r0", RTT: 50 * time.Millisecond})
		Expect(grants(0, demandOf("r0", "a", 1, 1, 0))).To(ConsistOf(HaveField("Expires", 200*time.Millisecond)))
	})

	DescribeTable("treats declined demand as withdrawn until a higher Seq",
		func(declineSeq, demandSeq uint64, granted int) {
			s.Step(start, demandOf("r0", "a", 4, 9, 0))
			n := len(grants(0, GrantDeclined{Router: "r0", GrantID: 1001, Team: "a", Seq: declineSeq}))
			n += len(grants(0, demandOf("r0", "a", demandSeq, 9, 0)))
			Expect(n).To(Equal(granted))
			Expect(accounts.reserved["a"]).To(Equal(granted))
		},
		Entry("lower", uint64(5), uint64(4), 0),
		Entry("equal", uint64(5), uint64(5), 0),
		Entry("higher", uint64(5), uint64(6), 1),
		Entry("a decline older than the demand keeps it", uint64(3), uint64(4), 1),
		Entry("seq 0 only returns the grant", uint64(0), uint64(0), 1),
	)

	It("rejects requests without a grant of their own", func() {
		s.Step(start, demandOf("r0", "a", 1, 1, 0))
		reject := func(router fleet.NodeID, grant uint64) {
			Expect(s.Step(start, RequestArrived{Router: router, GrantID: grant, RequestID: 5})).To(ContainElement(
				RejectRequest{RequestID: 5, Reason: ReasonGrantUnknown}))
		}
		reject("r1", 1001)
		reject("r0", 1)
		arrived := RequestArrived{Router: "r0", GrantID: 1001, RequestID: 6}
		Expect(s.Step(start, arrived)).To(Equal([]SidecarAction{StartRequest{6}}))
		reject("r0", 1001)
		Expect(accounts.reserved["a"]).To(BeZero())
	})

	It("discards demand with its router, its incarnation or after three refresh intervals", func() {
		Expect(grants(0, demandOf("r0", "a", 1, 1, 0))).To(HaveLen(1))
		s.Step(start, RouterDown{"r0"})
		Expect(s.Load()).To(Equal(Load{Slots: 1, FreeSlots: 1, Accepting: true}))
		Expect(accounts.reserved["a"]).To(BeZero())
		s.Step(start, SetSlots{0})
		for _, ev := range []SidecarEvent{RouterDown{"r0"}, RouterUp{Router: "r0", Incarnation: 2}} {
			s.Step(start, RouterUp{Router: "r0"})
			s.Step(start, demandOf("r0", "a", 9, 1, 0))
			s.Step(start, ev)
			Expect(s.grantableTeams).To(BeEmpty())
		}
		s.Step(start, demandOf("r0", "a", 1, 1, 0))
		s.Step(at(1499*time.Millisecond), TickSidecar{})
		Expect(s.grantableTeams).To(HaveLen(1))
		s.Step(at(1500*time.Millisecond), TickSidecar{})
		Expect(s.grantableTeams).To(BeEmpty())
		Expect(s.teams).To(BeEmpty())
	})

	It("releases grants and rejects staged requests when it stops accepting", func() {
		s.Step(start, SetSlots{3})
		s.Step(start, demandOf("r0", "a", 1, 3, 0))
		s.Step(start, RequestArrived{Router: "r0", GrantID: 1001, RequestID: 1})
		s.Step(start, SetSlots{1})
		Expect(s.Step(start, RequestArrived{Router: "r0", GrantID: 1002, RequestID: 2})).To(BeEmpty())
		Expect(s.Step(start, SetAccepting{false})).To(Equal([]SidecarAction{
			TeamWaiting{Team: "a", Waiting: true}, RejectRequest{RequestID: 2, Reason: ReasonNotAccepting}}))
		Expect(s.Step(start, RequestArrived{Router: "r0", GrantID: 1003, RequestID: 3})).To(Equal([]SidecarAction{
			RejectRequest{RequestID: 3, Reason: ReasonNotAccepting}}))
		Expect(s.Step(start, RequestFinished{1})).To(BeEmpty())
		Expect(s.Load()).To(Equal(Load{Slots: 1, FreeSlots: 1}))
		Expect(accounts.reserved["a"]).To(BeZero())
	})

	It("withholds no slot from waiting work when it accepts again", func() {
		s.Step(start, SetSlots{8})
		s.Step(start, SetAccepting{false})
		Expect(s.Step(start, demandOf("r0", "a", 1, 9, 0))).To(Equal([]SidecarAction{TeamWaiting{Team: "a", Waiting: true}}))
		granted := s.Step(start, SetAccepting{true})
		Expect(granted).To(HaveLen(8))
		Expect(granted).To(HaveEach(BeAssignableToTypeOf(SendGrant{})))
		Expect(s.Load()).To(Equal(Load{Slots: 8, Accepting: true}))
	})

	It("runs a solo request alone", func() {
		s.Step(start, SetSlots{3})
		s.Step(start, demandOf("r0", "a", 1, 9, 0))
		s.Step(start, RequestArrived{Router: "r0", GrantID: 1001, RequestID: 1})
		s.Step(start, RequestArrived{Router: "r0", GrantID: 1002, RequestID: 2, Solo: true})
		Expect(s.Step(start, RequestArrived{Router: "r0", GrantID: 1003, RequestID: 3})).To(BeEmpty())
		Expect(s.Step(start, RequestFinished{1})).To(Equal([]SidecarAction{StartRequest{2}}))
		actions := s.Step(start, RequestFinished{2})
		Expect(actions[0]).To(Equal(StartRequest{3}))
		Expect(collect[SendGrant](actions)).To(HaveLen(2))
	})

	DescribeTable("stages what completes within a round trip, bounded by the slots",
		func(rtt time.Duration, disabled bool, staged int) {
			setUp(SidecarConfig{Slots: 4, StagingDisabled: disabled})
			s.Step(start, RoundTrip{Router: "r0", RTT: rtt})
			s.Step(start, demandOf("r0", "a", 1, 1000, 0))
			s.roundTrip = rtt
			s.completions = rateEstimator{count: 100 * rateWindow.Seconds(), samples: 9, busy: time.Hour, last: start}
			s.Step(start, demandOf("r0", "a", 2, 1000, 0))
			Expect(s.committed()).To(Equal(4 + staged))
		},
		Entry("100/s within 15 ms", 15*time.Millisecond, false, 2),
		Entry("100/s within 1 s", time.Second, false, 4),
		Entry("no round trip known", time.Duration(0), false, 0),
		Entry("disabled", time.Second, true, 0),
	)
})
