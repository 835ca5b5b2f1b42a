package fairness_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

func benchmarkTeams(n int) []fleet.TeamID {
	teams := make([]fleet.TeamID, n)
	for i := range teams {
		teams[i] = fleet.TeamID(fmt.Sprintf("team-%05d", i))
	}
	return teams
}

func newBusyLedger(teams []fleet.TeamID) *fairness.Ledger {
	l := fairness.NewLedger(fairness.LedgerConfig{})
	for i, team := range teams {
		l.SetWaiting(team, true, epoch)
		l.Begin(uint64(i), team, 0, epoch)
	}
	return l
}

func BenchmarkLedgerPick(b *testing.B) {
	teams := benchmarkTeams(400)
	l := newBusyLedger(teams)
	b.ReportAllocs()
	for b.Loop() {
		best := l.Account(teams[0])
		for _, team := range teams {
			best = min(best, l.Account(team))
		}
	}
}

func BenchmarkLedgerRequest(b *testing.B) {
	teams := benchmarkTeams(400)
	l := newBusyLedger(teams)
	b.ReportAllocs()
	for i := uint64(1000); b.Loop(); i++ {
		team := teams[i%400]
		l.Begin(i, team, 0, epoch)
		l.Accrue(i, 2)
		l.Settle(i, 3, epoch)
	}
}

var activeTeams = []int{75, 600, 3000}

func BenchmarkLedgerReport(b *testing.B) {
	for _, n := range activeTeams {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l := newBusyLedger(benchmarkTeams(n))
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second)
				l.Report(now)
			}
		})
	}
}

func BenchmarkKeeperReport(b *testing.B) {
	for _, n := range activeTeams {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			k := newKeeper(1)
			r, _ := newBusyLedger(benchmarkTeams(n)).Report(epoch)
			b.ReportAllocs()
			for b.Loop() {
				r.Seq++
				k.ApplyReport("s1", 1, r, epoch)
			}
		})
	}
}

func BenchmarkAssign(b *testing.B) {
	var routers []fleet.NodeID
	for i := range 51 {
		routers = append(routers, fleet.NodeID(fmt.Sprintf("router-%03d", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		fairness.AssignKeeper("chat", "team-00001", routers)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkMemory reports the heap bytes per team of a ledger and of a keeper.
func BenchmarkMemory(b *testing.B) {
	teams := benchmarkTeams(3000)
	b.Run("ledger", func(b *testing.B) {
		for b.Loop() {
			before := heapBytes()
			l := newBusyLedger(teams)
			l.Report(epoch)
			b.ReportMetric((heapBytes()-before)/3000, "B/team")
			runtime.KeepAlive(l)
		}
	})
	for _, sidecars := range []int{1, 40} {
		b.Run(fmt.Sprintf("keeper/%d-sidecars", sidecars), func(b *testing.B) {
			r, _ := newBusyLedger(teams).Report(epoch)
			for b.Loop() {
				before := heapBytes()
				k := newKeeper(1)
				for s := range sidecars {
					k.ApplyReport(fleet.NodeID(fmt.Sprint(s)), 1, r, epoch)
				}
				b.ReportMetric((heapBytes()-before)/3000, "B/team")
				runtime.KeepAlive(k)
			}
		})
	}
}
