package admission_test

import (
	"fmt"
	"testing"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// BenchmarkAdmit decides on prompts with long shared parts, over engines and teams.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct{ engines, teams int }{{12, 16}, {320, 16}, {12, 3000}} {
		b.Run(fmt.Sprintf("%d engines %d teams", c.engines, c.teams), func(b *testing.B) {
			s := admission.NewScheduler(options(), engineCapacity())
			s.SetUpstreams(upstreams(c.engines))
			for i := range c.teams {
				s.Admit(start, admission.Request{ID: fmt.Sprint("t", i), Team: fleet.TeamID(fmt.Sprint("team-", i)), Prompt: short(i), Objective: objective})
				s.Cancel(start, fmt.Sprint("t", i))
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
