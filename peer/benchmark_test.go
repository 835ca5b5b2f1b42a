package peer

import (
	"bufio"
	"bytes"
	"context"
	"expvar"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

func benchTeam(i int) string { return fmt.Sprintf("team-%05d", i) }

func benchReport(teams int) *peerpb.Envelope {
	r := &peerpb.AccountReport{Seq: 100000, VirtualTime: 123456.7}
	for i := range teams {
		r.Entries = append(r.Entries, &peerpb.AccountEntry{
			Team: benchTeam(i), Charged: 1234.5, Active: true,
			Echo: &peerpb.AccountEcho{KeeperIncarnation: 1790000000000000000, RegionTotal: 1.5, ChargedIncluded: 1.5, Lift: 1.5, FleetTotal: 1.5},
		})
	}
	return &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_AccountReport{AccountReport: r}}
}

func benchTotals(teams int) *peerpb.Envelope {
	t := &peerpb.AccountTotals{ReportSeq: 100000, KeeperIncarnation: 1790000000000000000, VirtualTime: 123456.7}
	for i := range teams {
		t.Totals = append(t.Totals, &peerpb.AccountTotal{Team: benchTeam(i), RegionTotal: 1.5, Lift: 1.5, FleetTotal: 1.5})
	}
	return &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_AccountTotals{AccountTotals: t}}
}

func benchSums(teams int) *peerpb.Envelope {
	s := &peerpb.RegionSums{Region: "randstad", Service: "assistant", Seq: 100000, VirtualTime: 1.5, KeeperIncarnation: 1790000000000000000}
	for i := range teams {
		s.Sums = append(s.Sums, &peerpb.RegionSum{Team: benchTeam(i), Total: 1.5, Lift: 1.5, Active: true})
	}
	return &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_RegionSums{RegionSums: s}}
}

func benchDemands(teams int) *peerpb.Envelope {
	u := &peerpb.DemandUpdate{}
	for i := range teams {
		u.Demands = append(u.Demands, &peerpb.Demand{Team: benchTeam(i), Seq: 100000, Waiting: 20, OldestAgeMs: 900})
	}
	return &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_Demand{Demand: u}}
}

func benchUpdate(teams int) *peerpb.Envelope {
	u := &peerpb.AccountUpdate{VirtualTime: 1.5}
	for i := range teams {
		u.Bases = append(u.Bases, &peerpb.AccountBase{Team: benchTeam(i), Base: 1.5, Seq: 100000})
	}
	return &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_AccountUpdate{AccountUpdate: u}}
}

// BenchmarkMessage measures the encoding and decoding of one message of each kind.
func BenchmarkMessage(b *testing.B) {
	cases := []struct {
		name string
		env  *peerpb.Envelope
	}{
		{"heartbeat", &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_Heartbeat{Heartbeat: &peerpb.Heartbeat{}}}},
		{"demand-1", benchDemands(1)},
		{"demand-16", benchDemands(16)},
		{"grant", &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_Grant{Grant: &peerpb.Grant{Id: 100000, Team: benchTeam(1), ExpiresInMs: 20}}}},
		{"decline", &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_Decline{Decline: &peerpb.Decline{GrantId: 100000, Team: benchTeam(1), Seq: 100000}}}},
		{"load", &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_Load{Load: &peerpb.Load{Slots: 32, FreeSlots: 1, Accepting: true}}}},
		{"report-1", benchReport(1)}, {"report-75", benchReport(75)}, {"report-600", benchReport(600)}, {"report-3000", benchReport(3000)},
		{"totals-1", benchTotals(1)}, {"totals-75", benchTotals(75)}, {"totals-600", benchTotals(600)}, {"totals-3000", benchTotals(3000)},
		{"update-1", benchUpdate(1)}, {"update-75", benchUpdate(75)},
		{"sums-1", benchSums(1)}, {"sums-75", benchSums(75)}, {"sums-600", benchSums(600)},
		{"snapshot-13KB", &peerpb.Envelope{Generation: 10000, Body: &peerpb.Envelope_ConfigSnapshot{ConfigSnapshot: &peerpb.ConfigSnapshot{
			Head: make([]byte, 4<<10), Shards: []*peerpb.ConfigShard{{Hash: benchTeam(1), Data: make([]byte, 9<<10)}}}}}},
		{"frame-token", nil},
	}
	for _, c := range cases {
		var m proto.Message = c.env
		if c.env == nil {
			m = &peerpb.Frame{Body: &peerpb.Frame_Data{Data: make([]byte, 160)}}
		}
		b.Run(c.name, func(b *testing.B) { benchMessage(b, m) })
	}
}

func benchMessage(b *testing.B, m proto.Message) {
	var buf bytes.Buffer
	var r bytes.Reader
	reader := bufio.NewReader(&r)
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if _, err := writeMessage(&buf, m); err != nil {
			b.Fatal(err)
		}
		r.Reset(buf.Bytes())
		reader.Reset(&r)
		if err := readMessage(reader, m.ProtoReflect().New().Interface(), MaxControlBytes); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(buf.Len()), "wire-B")
}

type benchHandler struct{ up chan struct{} }

func (h *benchHandler) SessionUp(*Session)                 { h.up <- struct{}{} }
func (h *benchHandler) SessionDown(*Session, error)        {}
func (h *benchHandler) Message(*Session, *peerpb.Envelope) {}
func (h *benchHandler) Stream(_ *Session, st *Stream)      { st.Close() }

func benchNetwork(id string, h Handler) *Network {
	local := &Local{
		Hello:      &peerpb.Hello{ProtocolVersion: ProtocolVersion, Id: id, Incarnation: 1, Role: peerpb.Role_ROLE_ROUTER},
		Generation: func() uint64 { return 10000 },
		Draining:   func() bool { return false },
	}
	return NewNetwork(local, h, zap.NewNop(), nil, nil)
}

// BenchmarkIdleSession measures the memory, goroutines, bytes and CPU time of a session
// that sends only heartbeats. Both sides run in this process; the figures are per side.
func BenchmarkIdleSession(b *testing.B) {
	const sessions, heartbeats = 200, 10
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		h := &benchHandler{up: make(chan struct{}, 2*sessions)}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		goroutines, memory := runtime.NumGoroutine(), memoryBytes()
		server := benchNetwork("server", h)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, ln) }()
		var clients []*Network
		for i := range sessions {
			c := benchNetwork(fmt.Sprint("client-", i), h)
			c.SetTargets(ctx, []Target{{ID: fleet.NodeID("server"), Address: ln.Addr().String()}})
			clients = append(clients, c)
		}
		for range 2 * sessions {
			<-h.up
		}
		start, cpu, conn, control := time.Now(), cpuTime(), mapTotal(connSentBytes), mapTotal(controlSentBytes)
		waitForSentMessages(mapTotal(controlSentMessages) + 2*sessions*heartbeats)
		elapsed := time.Since(start).Seconds() * 2 * sessions
		b.ReportMetric(float64(mapTotal(connSentBytes)-conn)/elapsed, "conn-B/s")
		b.ReportMetric(float64(mapTotal(controlSentBytes)-control)/elapsed, "control-B/s")
		b.ReportMetric(float64((cpuTime()-cpu).Microseconds())/elapsed, "cpu-us/s")
		b.ReportMetric((memoryBytes()-memory)/(2*sessions), "memory-B")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/(2*sessions), "goroutines")
		cancel()
		for _, c := range clients {
			c.Wait()
		}
		<-served
	}
}

// waitForSentMessages waits until this process has sent count control messages in total.
func waitForSentMessages(count int64) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for mapTotal(controlSentMessages) < count {
		<-ticker.C
	}
}

func mapTotal(m *expvar.Map) int64 {
	var total int64
	m.Do(func(kv expvar.KeyValue) {
		if v, ok := kv.Value.(*expvar.Int); ok {
			total += v.Value()
		}
	})
	return total
}

func memoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
