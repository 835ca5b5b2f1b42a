package admission_test

import (
	"fmt"
	"testing"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// BenchmarkAdmit measures admission of prompts with long shared parts for different numbers
// of engines, teams and routers.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct{ engines, teams, routers int }{{12, 16, 1}, {320, 16, 1}, {12, 3000, 1}, {38, 30, 20}, {49, 120, 10}, {1600, 120, 40}} {
		b.Run(fmt.Sprintf("%d engines %d teams %d routers", c.engines, c.teams, c.routers), func(b *testing.B) {
			s := admission.NewScheduler(options(), engineCapacity())
			s.SetUpstreams(upstreams(c.engines))
			for i := range c.teams {
				s.Admit(start, admission.Request{ID: fmt.Sprint("t", i), Team: fleet.TeamID(fmt.Sprint("team-", i)), Prompt: short(i), Objective: objective})
				s.Cancel(start, fmt.Sprint("t", i))
			}
			for n := 1; n < c.routers; n++ {
				s.ApplyPeerReport(start, fleet.NodeID(fmt.Sprint("router-", n)), reportOf(c.engines, c.teams))
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				s.Admit(start, admission.Request{ID: "r", Team: "team-1", Prompt: shared(i%60, i), Objective: objective})
				s.Cancel(start, "r")
			}
		})
	}
}

// reportOf returns a full peer report with load at each engine and usage of each team.
func reportOf(engines, teams int) admission.Report {
	r := admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{}, Teams: admission.Usage{},
		Speed: &admission.EngineSpeed{Rate: rate, Overhead: overhead},
	}
	for _, u := range upstreams(engines) {
		r.Upstreams[u.ID] = admission.UpstreamLoad{Prefill: 100, Running: 1, Memory: 2000}
	}
	for i := range teams {
		r.Teams[admission.Account{Team: fleet.TeamID(fmt.Sprint("team-", i))}] = admission.TeamUsage{Requested: 10_000, Served: 8000}
	}
	return r
}
