//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// bounds are the bounds of a deployment that the settings name.
type bounds struct {
	stable, drain, configApply, evacuate time.Duration
	grace                                int
	ratio                                float64
	slack                                int
}

// testFleet is a small deployment: the store, servers and gateways, and what they did.
type testFleet struct {
	root, dir string
	prefix    string
	heartbeat time.Duration
	bounds    bounds
	rec       *recorder
	store     *store
	operator  *operator
	servers   []*serverStandIn
	gateways  []*gatewayProcess
	arrivals  arrivals
	answers   answers
	closed    atomic.Bool
	ids       atomic.Int64
	runID     int64
}

// answer is what a client saw of one attempt.
type answer struct {
	id      string
	gateway string
	sent    time.Time
	ended   time.Time
	// status is zero if the connection ended without an answer.
	status int
	sealed bool
	err    error
}

type answers struct {
	mu   sync.Mutex
	list []answer
}

func (a *answers) add(one answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *answers) all() map[string]answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := map[string]answer{}
	for _, one := range a.list {
		out[one.id] = one
	}
	return out
}

func newFleet(root string, rec *recorder, b bounds) (*testFleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &testFleet{root: root, dir: dir, heartbeat: 1200 * time.Millisecond, bounds: b, rec: rec, runID: rand.Int63()}
	for range 50 {
		f.prefix = fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), 1+rand.Intn(250))
		if f.store, err = newStore(f.address(1, storePort)); err == nil {
			return f, nil
		}
	}
	return nil, err
}

func (f *testFleet) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.prefix, machine, port)
}

func (f *testFleet) close() {
	f.closed.Store(true)
	for _, g := range f.gateways {
		g.kill()
	}
	for _, s := range f.servers {
		s.close()
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// addServer adds a server that is not started.
func (f *testFleet) addServer(service, zone string, slots int, work time.Duration) *serverStandIn {
	s := &serverStandIn{fleet: f, service: service, zone: zone, slots: slots, work: work, address: f.address(100+len(f.servers), serverPort)}
	f.servers = append(f.servers, s)
	return s
}

// addGateways starts one gateway in each of the given zones.
func (f *testFleet) addGateways(zones map[string]any, order []string) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "gateway.yaml"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range order[:min(3, len(order))] {
		seeds = append(seeds, f.address(10+i, controlPort))
	}
	first := len(f.gateways)
	for i, zone := range order {
		g := &gatewayProcess{name: fmt.Sprintf("front-%s-%d", zone, first+i+1), ip: fmt.Sprintf("%s.%d", f.prefix, 10+first+i), zone: zone}
		g.settings, g.log = filepath.Join(f.dir, g.name+".toml"), filepath.Join(f.dir, g.name+".log")
		bounds := map[string]any{
			"configApplyMs": f.bounds.configApply.Milliseconds(), "drainMs": f.bounds.drain.Milliseconds(), "graceS": f.bounds.grace,
			"retryBudgetRatio": f.bounds.ratio, "retrySlack": f.bounds.slack, "retryWindowS": 10, "quotaWindowS": 4,
		}
		if f.bounds.evacuate > 0 {
			bounds["evacuateMs"], bounds["coldOverage"], bounds["coldSlack"] = f.bounds.evacuate.Milliseconds(), 1.5, 5
		}
		fields := map[string]any{
			"nodeName": g.name, "ip": g.ip, "zone": zone, "region": zones[zone], "zones": zones, "seeds": seeds, "portRange": []int{metricsPort, metricsPort + 15},
			"listen": map[string]any{
				"front": g.front(), "readyAddress": fmt.Sprintf("%s:%d", g.ip, readyPort), "control": fmt.Sprintf("%s:%d", g.ip, controlPort),
			},
			"limits":   map[string]any{"cpuShare": 0.304, "memoryMb": 284, "maxFds": 4100},
			"platform": map[string]any{"address": f.address(1, storePort)},
			"bounds":   bounds,
		}
		if err := os.WriteFile(g.settings, []byte(renderTemplate(string(template), fields)), 0o600); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
		if err := g.start(f.root); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all gateways are ready.
func (f *testFleet) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range f.gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *testFleet) newID() string { return fmt.Sprintf("%08x%08x", uint32(f.runID), f.ids.Add(1)) }

// client sends requests to one gateway over kept connections.
type client struct {
	fleet   *testFleet
	gateway *gatewayProcess
	http    *http.Client
}

func (f *testFleet) newClient(g *gatewayProcess) *client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 64}
	return &client{fleet: f, gateway: g, http: &http.Client{Transport: transport}}
}

// send sends one attempt and waits for its answer.
func (c *client) send(method, path, key string, deadline time.Duration, body io.Reader, header map[string]string) answer {
	a := answer{id: c.fleet.newID(), gateway: c.gateway.name, sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+c.gateway.front()+path, body)
	fatal(err)
	request.Host = "review.example"
	request.Header.Set("Attempt-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		request.Header.Set("Key", key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	c.fleet.rec.logf("client sends %s %s to %s", a.id, path, c.gateway.name)
	resp, err := c.http.Do(request)
	a.err = err
	if err == nil {
		_, a.err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		a.status, a.sealed = resp.StatusCode, resp.Header.Get("Server-Seal") != ""
	}
	a.ended = time.Now()
	c.fleet.rec.logf("client has the answer to %s: status=%d sealed=%t error=%v", a.id, a.status, a.sealed, a.err)
	c.fleet.answers.add(a)
	return a
}
