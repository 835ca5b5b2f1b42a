package bench

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// Benchmark is a named measurement.
type Benchmark struct {
	Name string
	Run  func(ctx context.Context, options Options) ([]Figure, error)
}

// Benchmarks returns all benchmarks in the order in which they run. The argument
// cut is the duration of the network partition in region_cut.
func Benchmarks(cut time.Duration) []Benchmark {
	var out []Benchmark
	for _, s := range Scenarios(cut) {
		out = append(out, Benchmark{Name: s.Name, Run: func(ctx context.Context, options Options) ([]Figure, error) {
			return Run(ctx, s, options)
		}})
	}
	return append(out,
		Benchmark{Name: "first_token", Run: firstToken},
		Benchmark{Name: "capacity", Run: capacity})
}

const (
	// probeCallers is the number of callers on each of the two paths, routed and
	// direct.
	probeCallers = 6
	probeTokens  = 5
	// probeSlots is enough for every probe to find a free slot.
	probeSlots = 2 * probeCallers

	// capacityRate is the rate of one-token requests to one router, per second.
	capacityRate = 8 * 200
	// capacityLength is how long requests are sent.
	capacityLength = 5 * time.Second
	// capacitySlots is the number of slots of each engine.
	capacitySlots = 256
	// capacityIdleConnections is the number of idle connections that the client keeps.
	capacityIdleConnections = 4000
	// capacityTimeout bounds one request.
	capacityTimeout = 10 * time.Second
	// firstTokenQuantile is the reported quantile of the time to the first token.
	firstTokenQuantile = 0.95
)

func startProbeFleet(ctx context.Context, shape harness.Topology, tokenMs int) (*harness.Fleet, error) {
	f, err := harness.NewFleet(ctx, shape.Inventory(), harness.Options{
		Proxied:    true,
		EngineArgs: []string{"--token-interval-ms", strconv.Itoa(tokenMs)},
		LogLevel:   "warn",
	})
	if err != nil {
		return nil, eris.Wrap(ErrRun, err.Error())
	}
	if err := f.Links.DelayRegions(regionDelay); err != nil {
		f.Close()
		return nil, eris.Wrap(ErrRun, err.Error())
	}
	if err := f.Start(ctx); err != nil {
		defer f.Close()
		return nil, eris.Wrapf(ErrRun, "%s\n%s", err, f.LogTails())
	}
	return f, nil
}

// firstToken compares the time to the first token through the routers with that of
// direct calls to the engines, both at the same time and under the same load.
func firstToken(ctx context.Context, options Options) ([]Figure, error) {
	shape := harness.Topology{Regions: regions, Routers: 1, Engines: enginesPerRegion, Slots: probeSlots, Teams: teams}
	f, err := startProbeFleet(ctx, shape, tokenIntervalMs)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(ctx, options.Warmup+options.Window/2)
	defer cancel()
	p := &probe{fleet: f, client: newHTTPClient(2 * probeCallers), windowStart: time.Now().Add(options.Warmup)}
	for n := range probeCallers {
		p.wg.Go(func() { p.run(ctx, f.Routers[n%len(f.Routers)].URL(), n, &p.routed) })
		p.wg.Go(func() { p.run(ctx, f.Upstreams[n%len(f.Upstreams)].URL(), n, &p.direct) })
	}
	p.wg.Wait()
	p.client.CloseIdleConnections()
	if len(p.routed) == 0 || len(p.direct) == 0 {
		return nil, eris.Wrapf(ErrRun, "no first token: %s", f.LogTails())
	}
	routed, direct := quantile(p.routed), quantile(p.direct)
	w := figureBuilder{scenario: "first_token", note: fmt.Sprintf("p95 direct %.2f ms, routed %.2f ms", direct, routed)}
	w.add(FirstTokenAddedP95, routed-direct, "ms", targetFirstTokenAddedMs)
	w.add(RequestsFailed, float64(p.failed.Load()), "count", 0)
	return w.figures, nil
}

// probe measures the times to the first token.
type probe struct {
	fleet  *harness.Fleet
	client *http.Client
	// windowStart is the start of the measured window.
	windowStart time.Time
	wg          sync.WaitGroup
	failed      atomic.Int64

	mu sync.Mutex
	// routed and direct hold the times to the first token, in milliseconds.
	routed, direct []float64
}

func (p *probe) run(ctx context.Context, url string, n int, times *[]float64) {
	team := p.fleet.Inventory.Teams[n%teams].ID
	for i := 0; ctx.Err() == nil; i++ {
		sent := time.Now()
		var first time.Duration
		request := streamRequest{
			url: url,
			key: harness.TeamKey(team),
			body: standin.CompletionRequest{
				Model:     string(harness.ModelService),
				Prompt:    fmt.Sprintf("%s probe %d of %d", team, i, n),
				MaxTokens: probeTokens,
				Stream:    true,
			},
			onToken: func() {
				if first == 0 {
					first = time.Since(sent)
				}
			},
		}
		err := request.send(ctx, p.client)
		if ctx.Err() != nil || sent.Before(p.windowStart) {
			continue
		}
		if err != nil {
			p.failed.Add(1)
			continue
		}
		p.mu.Lock()
		*times = append(*times, milliseconds(first))
		p.mu.Unlock()
	}
}

// quantile returns the firstTokenQuantile of the values.
func quantile(values []float64) float64 {
	slices.Sort(values)
	return values[int(firstTokenQuantile*float64(len(values)-1))]
}

// capacity measures the throughput of one router at a constant rate of one-token
// requests.
func capacity(ctx context.Context, _ Options) ([]Figure, error) {
	shape := harness.Topology{Regions: 1, Routers: 1, Engines: enginesPerRegion, Slots: capacitySlots, Teams: teams}
	f, err := startProbeFleet(ctx, shape, 1)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c := &capacityRun{fleet: f, client: newHTTPClient(capacityIdleConnections), errors: map[string]int{}}
	begin := time.Now()
	c.send(ctx, begin)
	c.wg.Wait()
	elapsed := time.Since(begin).Seconds()
	c.client.CloseIdleConnections()
	logFailures("capacity", c.errors)
	w := figureBuilder{scenario: "capacity", note: fmt.Sprintf("offered %d/s for %s", capacityRate, capacityLength)}
	w.add(RouterCapacity, float64(c.ok)/elapsed, "1/s", 0)
	w.add(RouterCapacityErrors, float64(c.failed), "count", 0)
	zero := 0.0
	w.figures[1].Target = &zero
	return w.figures, nil
}

// capacityRun sends the requests of the capacity benchmark and counts their results.
type capacityRun struct {
	fleet  *harness.Fleet
	client *http.Client
	wg     sync.WaitGroup

	mu         sync.Mutex
	ok, failed int
	errors     map[string]int
}

// send starts every request at its scheduled time, regardless of earlier ones.
func (c *capacityRun) send(ctx context.Context, begin time.Time) {
	total := int(capacityRate * capacityLength / time.Second)
	for i := range total {
		due := begin.Add(time.Duration(i) * time.Second / capacityRate)
		if d := time.Until(due); d > 0 {
			sleep(ctx, d)
		}
		c.wg.Go(func() { c.recordResult(c.sendOne(ctx, i)) })
	}
}

func (c *capacityRun) sendOne(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	team := c.fleet.Inventory.Teams[i%teams].ID
	request := streamRequest{
		url: c.fleet.Routers[0].URL(),
		key: harness.TeamKey(team),
		body: standin.CompletionRequest{
			Model:     string(harness.ModelService),
			Prompt:    fmt.Sprintf("%s request %d", team, i),
			MaxTokens: 1,
			Stream:    true,
		},
		onToken: func() {},
	}
	return request.send(ctx, c.client)
}

func (c *capacityRun) recordResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.failed++
		c.errors[err.Error()]++
		return
	}
	c.ok++
}
