package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// BenchmarkTeams measures the memory of a router and a sidecar with many configured
// teams, and the cost of a configuration change of one upstream.
func BenchmarkTeams(b *testing.B) {
	for _, teams := range []int{16, 10_000, 30_000} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			for b.Loop() {
				f := startFleet(b, harness.Topology{Regions: 1, Routers: 2, Engines: 2, Slots: 8, Teams: teams})
				measureChanges(b, f)
				f.Close()
			}
		})
	}
}

// measureChanges reports the time until a change is accepted and until every process has
// adopted it, and the usage for each change.
func measureChanges(b *testing.B, f *harness.Fleet) {
	const changes = 5
	awaitGeneration(b, f, 1)
	<-time.After(settleTime)
	before := readFleetUsage(b, f)
	slowest := time.Duration(0)
	for i := range changes {
		inv := f.Inventory
		inv.Upstreams = slices.Clone(inv.Upstreams)
		inv.Upstreams[0].Slots = 20 + i
		start := time.Now()
		if err := f.Apply(b.Context(), inv); err != nil {
			b.Fatal(err)
		}
		accepted := time.Since(start)
		awaitGeneration(b, f, float64(2+i))
		slowest = max(slowest, time.Since(start)-accepted)
		b.ReportMetric(accepted.Seconds(), "accept-s/change")
	}
	<-time.After(settleTime)
	after := readFleetUsage(b, f)
	b.ReportMetric(slowest.Seconds(), "in-force-s/change")
	reportChanges(b, "router", before.routers, after.routers, changes)
	reportChanges(b, "sidecar", before.sidecars, after.sidecars, changes)
}

func reportChanges(b *testing.B, role string, before, after []usage, changes float64) {
	n := float64(len(after))
	var cpu, residentBefore, residentAfter, conn, platform float64
	for i, a := range after {
		cpu += float64((a.cpu - before[i].cpu).Milliseconds())
		residentBefore += before[i].resident
		residentAfter += a.resident
		conn += sum(a.expvars.Conn) - sum(before[i].expvars.Conn)
		platform += sum(a.expvars.Platform) - sum(before[i].expvars.Platform)
	}
	b.ReportMetric(residentBefore/n/(1<<20), role+"-resident-MB")
	b.ReportMetric(residentAfter/n/(1<<20), role+"-resident-after-changes-MB")
	b.ReportMetric(cpu/n/changes, role+"-cpu-ms/change")
	b.ReportMetric(conn/n/changes, role+"-conn-B/change")
	b.ReportMetric(platform/n, role+"-platform-calls")
}

// awaitGeneration waits until every process uses the configuration generation, or a
// later one.
func awaitGeneration(b *testing.B, f *harness.Fleet, generation float64) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !inForce(readFleetUsage(b, f), generation) {
		<-ticker.C
	}
}

// inForce reports whether every process uses at least the given generation.
func inForce(u fleetUsage, generation float64) bool {
	behind := func(p usage) bool { return p.expvars.Generation < generation }
	return !slices.ContainsFunc(u.routers, behind) && !slices.ContainsFunc(u.sidecars, behind)
}
