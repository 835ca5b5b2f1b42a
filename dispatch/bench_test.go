package dispatch

import (
	"fmt"
	"testing"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// BenchmarkSidecarGrant measures a finished request and the resulting grant, with
// 400 backlogged teams at 8 routers.
func BenchmarkSidecarGrant(b *testing.B) {
	accounts := newFakeAccounts()
	s := NewSidecar(SidecarConfig{Slots: 64, StagingDisabled: true}, accounts)
	for r := range 8 {
		router := fleet.NodeID(fmt.Sprint("r", r))
		s.Step(start, RouterUp{Router: router})
		for t := range 400 {
			team := fleet.TeamID(fmt.Sprint("t", t))
			s.Step(start, DemandReceived{Router: router, Team: team, Seq: uint64(t + 1), Waiting: 1 << 40})
		}
	}
	next := s.Step(start, SetSlots{65})[0].(SendGrant)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		accounts.charged[next.Team]++
		s.Step(start, RequestArrived{Router: next.Router, GrantID: next.GrantID, RequestID: uint64(i)})
		actions := s.Step(start, RequestFinished{uint64(i)})
		next = actions[0].(SendGrant)
	}
}

// BenchmarkRouterBind measures an arrival and a bound grant, with 40 sidecars and
// 400 teams with waiting requests.
func BenchmarkRouterBind(b *testing.B) {
	r := NewRouter(RouterConfig{Location: home})
	for i := range 40 {
		addSidecar(r, fleet.NodeID(fmt.Sprint("s", i)), home, 16, 4)
	}
	var id RequestID
	for t := range 400 {
		for range 4 {
			id++
			r.Step(start, Arrive{request(id, fleet.TeamID(fmt.Sprint("t", t)))})
		}
	}
	r.Step(at(time.Second), TickRouter{})
	now := at(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		id++
		team := fleet.TeamID("t1")
		r.Step(now, Arrive{request(id, team)})
		r.Step(now, GrantReceived{Sidecar: "s1", GrantID: uint64(id), Team: team, Expires: now.Add(time.Second)})
	}
}
