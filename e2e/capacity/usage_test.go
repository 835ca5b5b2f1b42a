package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// usage is what one process has used so far.
type usage struct {
	cpu      time.Duration
	resident float64
	vars     vars
}

type vars struct {
	Messages  map[string]float64 `json:"peer_control_sent_messages"`
	Control   map[string]float64 `json:"peer_control_sent_bytes"`
	Conn      map[string]float64 `json:"peer_conn_sent_bytes"`
	Platform  map[string]float64 `json:"platform_calls"`
	Completed float64            `json:"router_completed"`
	InFlight  float64            `json:"router_dispatched"`
	// Generation is that of the configuration in force.
	Generation float64 `json:"config_generation"`
	MemStats   struct {
		HeapAlloc  float64
		StackInuse float64
	} `json:"memstats"`
}

// live is the memory of objects and stacks; garbage is included.
func (u usage) live() float64 { return u.vars.MemStats.HeapAlloc + u.vars.MemStats.StackInuse }

func read(b testing.TB, p *harness.Process, admin string) usage {
	b.Helper()
	u := usage{cpu: processorTime(b, p.PID()), resident: residentBytes(b, p.PID())}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, admin+"/debug/vars", nil)
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+harness.AdminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&u.vars); err != nil {
		b.Fatal(err)
	}
	return u
}

// processorTime returns user and system time.
func processorTime(b testing.TB, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The fields after the name, which ends in the last parenthesis, start with
	// the third; user and system time are the 14th and 15th.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick
}

func residentBytes(b testing.TB, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages * os.Getpagesize())
}

// fleetUsage is the usage of all processes of each role.
type fleetUsage struct {
	at       time.Time
	routers  []usage
	sidecars []usage
}

func readFleet(b *testing.B, f *harness.Fleet) fleetUsage {
	u := fleetUsage{at: time.Now()}
	for _, r := range f.Routers {
		u.routers = append(u.routers, read(b, r.Process(), r.AdminURL()))
	}
	for _, s := range f.Upstreams {
		u.sidecars = append(u.sidecars, read(b, s.Sidecar(), s.SidecarAdminURL()))
	}
	return u
}

// report gives the mean use of one process of each role between two readings,
// for each second, or for each request if requests is not zero.
func report(b *testing.B, before, after fleetUsage, requests float64) {
	seconds := after.at.Sub(before.at).Seconds()
	reportRole(b, "router", before.routers, after.routers, seconds, requests)
	reportRole(b, "sidecar", before.sidecars, after.sidecars, seconds, requests)
}

func reportRole(b *testing.B, role string, before, after []usage, seconds, requests float64) {
	n := float64(len(after))
	var cpu, resident, conn, platform float64
	messages, control := map[string]float64{}, map[string]float64{}
	for i, a := range after {
		cpu += float64((a.cpu - before[i].cpu).Microseconds())
		resident += a.resident
		conn += total(a.vars.Conn) - total(before[i].vars.Conn)
		platform += total(a.vars.Platform) - total(before[i].vars.Platform)
		addDelta(messages, before[i].vars.Messages, a.vars.Messages)
		addDelta(control, before[i].vars.Control, a.vars.Control)
	}
	b.ReportMetric(resident/n/(1<<20), role+"-resident-MB")
	b.ReportMetric(cpu/n/seconds, role+"-cpu-us/s")
	b.ReportMetric(conn/n/seconds, role+"-conn-B/s")
	b.ReportMetric(total(control)/n/seconds, role+"-control-B/s")
	b.ReportMetric(platform/n/seconds, role+"-platform-calls/s")
	if requests == 0 {
		return
	}
	b.ReportMetric(cpu/requests, role+"-cpu-us/request")
	for kind, count := range messages {
		b.ReportMetric(count/requests, role+"-"+kind+"-messages/request")
	}
	for kind, size := range control {
		b.ReportMetric(size/requests, role+"-"+kind+"-B/request")
	}
}

func total(m map[string]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return sum
}

// addDelta adds growth by kind, the part of a key ahead of the first slash.
func addDelta(sum, before, after map[string]float64) {
	for key, value := range after {
		kind, _, _ := strings.Cut(key, "/")
		sum[kind] += value - before[key]
	}
}
