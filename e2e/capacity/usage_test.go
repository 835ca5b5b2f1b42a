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

// clockTick is the unit of processor time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// usage is the cumulative resource usage of a process.
type usage struct {
	// cpu is the processor time.
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident float64
	expvars  expvars
}

// expvars holds the counters of a process that the measurements read.
type expvars struct {
	Messages  map[string]float64 `json:"peer_control_sent_messages"`
	Control   map[string]float64 `json:"peer_control_sent_bytes"`
	Conn      map[string]float64 `json:"peer_conn_sent_bytes"`
	Platform  map[string]float64 `json:"platform_calls"`
	Completed float64            `json:"router_completed"`
	InFlight  float64            `json:"router_dispatched"`
	// Generation is the generation of the configuration in use.
	Generation float64 `json:"config_generation"`
	MemStats   struct {
		HeapAlloc  float64
		StackInuse float64
	} `json:"memstats"`
}

// heapAndStack returns the bytes of heap objects, uncollected garbage included, and of
// stacks.
func (u usage) heapAndStack() float64 {
	return u.expvars.MemStats.HeapAlloc + u.expvars.MemStats.StackInuse
}

// readUsage reads the usage of a process whose admin listener has the base URL admin.
func readUsage(b testing.TB, p *harness.Process, admin string) usage {
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
	if err := json.NewDecoder(resp.Body).Decode(&u.expvars); err != nil {
		b.Fatal(err)
	}
	return u
}

// processorTime returns the sum of user and system time.
func processorTime(b testing.TB, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	// The process name, the second field, ends at the last parenthesis, so that
	// the list starts with the third field. User and system time are the 14th and
	// 15th.
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

func readFleetUsage(b *testing.B, f *harness.Fleet) fleetUsage {
	u := fleetUsage{at: time.Now()}
	for _, r := range f.Routers {
		u.routers = append(u.routers, readUsage(b, r.Process(), r.AdminURL()))
	}
	for _, s := range f.Upstreams {
		u.sidecars = append(u.sidecars, readUsage(b, s.Sidecar(), s.SidecarAdminURL()))
	}
	return u
}

// reportUsage reports the mean usage of a process of each role between two readings,
// per second, and also per request if requests is not zero.
func reportUsage(b *testing.B, before, after fleetUsage, requests float64) {
	seconds := after.at.Sub(before.at).Seconds()
	reportRole(b, "router", before.routers, after.routers, seconds, requests)
	reportRole(b, "sidecar", before.sidecars, after.sidecars, seconds, requests)
}

// reportRole reports resident memory as of the second reading, and the usage between the
// readings.
func reportRole(b *testing.B, role string, before, after []usage, seconds, requests float64) {
	n := float64(len(after))
	var cpu, resident, conn, platform float64
	messages, control := map[string]float64{}, map[string]float64{}
	for i, a := range after {
		cpu += float64((a.cpu - before[i].cpu).Microseconds())
		resident += a.resident
		conn += sum(a.expvars.Conn) - sum(before[i].expvars.Conn)
		platform += sum(a.expvars.Platform) - sum(before[i].expvars.Platform)
		addDeltasByKind(messages, before[i].expvars.Messages, a.expvars.Messages)
		addDeltasByKind(control, before[i].expvars.Control, a.expvars.Control)
	}
	b.ReportMetric(resident/n/(1<<20), role+"-resident-MB")
	b.ReportMetric(cpu/n/seconds, role+"-cpu-us/s")
	b.ReportMetric(conn/n/seconds, role+"-conn-B/s")
	b.ReportMetric(sum(control)/n/seconds, role+"-control-B/s")
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

func sum(m map[string]float64) float64 {
	total := 0.0
	for _, v := range m {
		total += v
	}
	return total
}

// addDeltasByKind adds the growth of each counter to the sum of its kind, which is the
// part of the key before the first slash.
func addDeltasByKind(total, before, after map[string]float64) {
	for key, value := range after {
		kind, _, _ := strings.Cut(key, "/")
		total[kind] += value - before[key]
	}
}
