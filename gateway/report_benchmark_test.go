package gateway

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// BenchmarkReport encodes and decodes load reports and reports their size.
func BenchmarkReport(b *testing.B) {
	for _, c := range []struct {
		name                    string
		engines, teams, prompts int
	}{
		{"short", 2, 0, 2},
		{"full 12 engines 16 teams", 12, 16, 2},
		{"full 12 engines 116 teams", 12, 116, 2},
		{"full 112 engines 16 teams", 112, 16, 2},
	} {
		b.Run(c.name, func(b *testing.B) {
			report := admission.Report{
				Full: c.teams > 0, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{}, Teams: admission.Usage{},
			}
			for i := range c.engines {
				report.Upstreams[fleet.UpstreamID(fmt.Sprintf("i-%010x", i))] = admission.UpstreamLoad{Prefill: 9000, Running: 9, Memory: 60_000}
			}
			for i := range c.teams {
				report.Teams[admission.Account{Team: fleet.TeamID(fmt.Sprintf("team%04d", i))}] = admission.TeamUsage{Requested: 900_000, Served: 700_000}
			}
			for i := range c.prompts {
				prompt := placement.Prompt{{ID: 1 << 60, Tokens: 2500}, {ID: 3 << 60, Tokens: 3700}, {ID: 5 << 60, Tokens: 2900}}
				report.Prompts = append(report.Prompts, admission.SentPrompt{Upstream: fleet.UpstreamID(fmt.Sprintf("i-%010x", i)), Prompt: prompt})
			}
			b.ReportAllocs()
			size := 0
			for b.Loop() {
				wire := reportToWire("service", report)
				data, err := proto.Marshal(wire)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
				wire.Reset()
				if err := proto.Unmarshal(data, wire); err != nil {
					b.Fatal(err)
				}
				reportFromWire(wire)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}
