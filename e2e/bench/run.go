package bench

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// sampleInterval is the time between two samples of the teams' service.
	sampleInterval = 100 * time.Millisecond
)

// Options of a run.
type Options struct {
	// Window is the length of the measured window. A fault adds to it.
	Window time.Duration
	// Warmup is the time from the callers' start to the window's.
	Warmup time.Duration
	// Baseline runs the baseline beside the product.
	Baseline bool
}

// run is one scenario on one fleet.
type run struct {
	scenario Scenario
	baseline bool
	fleet    *harness.Fleet
	load     *load
	meter    *meter
	gap      *GapTracker
	// rebased is the gap of a window that starts at the end of the recovery.
	rebased *GapTracker

	start, healed, end time.Time
	measured           measurement
}

// measurement is what a run gave.
type measurement struct {
	gap, gapDuring, gapAfter float64
	utilisation              float64
	jain                     float64
	backlogged               int
	seconds                  float64
	totals                   totals
	lightWait                time.Duration
	traffic                  traffic
	controlMax               float64
	nodes                    int
	failures                 map[string]int
}

func (s Scenario) inventory() config.Inventory {
	shape := harness.Topology{Regions: regions, Routers: 1, Engines: enginesRegion, Slots: slotsEngine, Teams: teams}
	inv := shape.Inventory()
	for i, team := range inv.Teams {
		inv.Rules.Shares = append(inv.Rules.Shares, config.Share{Team: team.ID, Weight: s.Weights[i]})
	}
	return inv
}

// measure runs a scenario on a fresh fleet.
func measure(ctx context.Context, s Scenario, baseline bool, o Options) (measurement, error) {
	options := harness.Options{
		Proxied:    true,
		Baseline:   baseline,
		EngineArgs: []string{"--token-interval-ms", strconv.Itoa(tokenIntervalMs)},
		LogLevel:   "warn",
	}
	f, err := harness.NewFleet(ctx, s.inventory(), options)
	if err != nil {
		return measurement{}, eris.Wrap(ErrRun, err.Error())
	}
	defer f.Close()
	if err := f.Links.DelayRegions(regionDelay); err != nil {
		return measurement{}, eris.Wrap(ErrRun, err.Error())
	}
	if err := f.Start(ctx); err != nil {
		return measurement{}, eris.Wrapf(ErrRun, "%s\n%s", err, f.LogTails())
	}
	r := newRun(s, baseline, f)
	if err := r.measure(ctx, o); err != nil {
		return measurement{}, eris.Wrapf(err, "%s\n%s", s.Name, f.LogTails())
	}
	return r.measured, nil
}

func newRun(s Scenario, baseline bool, f *harness.Fleet) *run {
	m := newMeter(teams, totalSlots)
	l := &load{scenario: s, meter: m}
	callers := 0
	for i, team := range f.Inventory.Teams {
		l.teams = append(l.teams, team.ID)
		callers += s.Callers(i)
	}
	for _, router := range f.Routers {
		l.routers = append(l.routers, router.URL())
	}
	l.client = newHTTPClient(callers)
	return &run{
		scenario: s,
		baseline: baseline,
		fleet:    f,
		load:     l,
		meter:    m,
		gap:      NewGapTracker(s.Weights[:], totalSlots, s.largest()),
	}
}

// measure runs the callers and takes all figures of the window.
func (r *run) measure(ctx context.Context, o Options) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer r.load.wait()
	defer stop()
	r.load.start(loadCtx)
	pause(ctx, o.Warmup)

	before, err := r.counters(ctx)
	if err != nil {
		return err
	}
	r.meter.resetWaits()
	r.start = time.Now()
	if err := r.window(ctx, o.Window, &before); err != nil {
		return err
	}
	r.end = time.Now()
	last := r.meter.samples()
	after, err := r.counters(ctx)
	if err != nil {
		return err
	}
	r.collect(before, after, last)
	return nil
}

// counters are the state of the fleet's counters at one moment.
type counters struct {
	at      time.Time
	totals  totals
	traffic map[string]traffic
	// busy and wanted are read together.
	busy   time.Duration
	wanted time.Duration
}

func (r *run) counters(ctx context.Context) (counters, error) {
	c := counters{}
	var err error
	if !r.baseline {
		if c.traffic, err = scrape(ctx, r.fleet); err != nil {
			return c, err
		}
	}
	c.at = time.Now()
	c.totals = r.meter.totals()
	return c, r.usage(ctx, &c)
}

// usage reads the busy slot-time of the running upstreams and the slot-time
// that work was there for.
func (r *run) usage(ctx context.Context, c *counters) error {
	var err error
	c.busy, err = busy(ctx, r.running())
	c.wanted = r.meter.totals().wanted
	return err
}

func (r *run) running() []*harness.Upstream {
	var out []*harness.Upstream
	for _, u := range r.fleet.Upstreams {
		if u.StandIn().Running() {
			out = append(out, u)
		}
	}
	return out
}

// window samples the teams' service and brings the fault about.
func (r *run) window(ctx context.Context, window time.Duration, before *counters) error {
	fault := r.scenario.Fault
	if fault == nil {
		r.sample(ctx, window)
		return ctx.Err()
	}
	r.sample(ctx, fault.After)
	if err := fault.Begin(ctx, r); err != nil {
		return eris.Wrap(ErrRun, err.Error())
	}
	r.sample(ctx, fault.Lasts)
	if fault.Heal == nil {
		// What the fault took is out of the count from here on.
		if err := r.usage(ctx, before); err != nil {
			return err
		}
		r.sample(ctx, window)
		return ctx.Err()
	}
	if err := fault.Heal(ctx, r); err != nil {
		return eris.Wrap(ErrRun, err.Error())
	}
	r.healed = time.Now()
	r.sample(ctx, fault.Recovery)
	r.rebased = NewGapTracker(r.scenario.Weights[:], totalSlots, r.scenario.largest())
	r.sample(ctx, window/2)
	return ctx.Err()
}

// sample samples for a time, at least once at its start.
func (r *run) sample(ctx context.Context, d time.Duration) {
	deadline := time.Now().Add(d)
	for now := time.Now(); now.Before(deadline) && ctx.Err() == nil; now = time.Now() {
		samples := r.meter.samples()
		r.gap.Observe(now, samples)
		if r.rebased != nil {
			r.rebased.Observe(now, samples)
		}
		pause(ctx, min(sampleInterval, time.Until(deadline)))
	}
}

// collect works the figures out.
func (r *run) collect(before, after counters, last []TeamSample) {
	m := &r.measured
	r.collectGap(last)
	m.utilisation = float64(after.busy-before.busy) / float64(after.wanted-before.wanted)
	m.seconds = after.at.Sub(before.at).Seconds()
	m.totals.completed = after.totals.completed - before.totals.completed
	m.totals.failed = after.totals.failed - before.totals.failed
	m.failures = r.meter.failures
	if r.scenario.Light != noTeam {
		m.lightWait = r.meter.longestWait(r.scenario.Light)
	}
	for id, t := range after.traffic {
		sent := t.sub(before.traffic[id])
		m.traffic = m.traffic.add(sent)
		m.controlMax = max(m.controlMax, float64(sent.control)/m.seconds)
		m.nodes++
	}
}

// collectGap takes the largest gap of the window. With a heal, the time from the
// fault to the end of the recovery counts apart.
func (r *run) collectGap(last []TeamSample) {
	m := &r.measured
	m.jain = r.gap.Jain(last)
	m.backlogged = r.gap.Backlogged()
	if r.rebased == nil {
		m.gap = r.gap.Max(r.start, r.end)
		return
	}
	fault := r.scenario.Fault
	begin := r.start.Add(fault.After)
	recovered := r.healed.Add(fault.Recovery)
	m.gap = max(r.gap.Max(r.start, begin), r.gap.Max(recovered, r.end))
	m.gapDuring = r.gap.Max(begin, recovered)
	m.gapAfter = r.rebased.Max(recovered, r.end)
}

// lastRegion is the region that faults hit.
func (r *run) lastRegion() fleet.RegionID {
	return r.fleet.Inventory.Regions[regions-1].ID
}

func (r *run) lastRouter() *harness.Router {
	return r.fleet.Routers[len(r.fleet.Routers)-1]
}

func cutRegion(_ context.Context, r *run) error {
	return r.fleet.Links.CutRegion(r.lastRegion())
}

func healLinks(_ context.Context, r *run) error {
	return r.fleet.Links.Heal()
}

func killRouter(ctx context.Context, r *run) error {
	return kill(ctx, r.lastRouter().Process())
}

func restartRouter(ctx context.Context, r *run) error {
	if err := r.fleet.StartRouter(ctx, r.lastRouter()); err != nil {
		return err
	}
	return r.fleet.AwaitReady(ctx)
}

// killDomain kills every process of the last region, which is one failure
// domain.
func killDomain(ctx context.Context, r *run) error {
	if err := kill(ctx, r.lastRouter().Process()); err != nil {
		return err
	}
	left := 0
	for _, u := range r.fleet.Upstreams {
		if u.VM.Region != r.lastRegion() {
			left += slotsEngine
			continue
		}
		for _, p := range []*harness.Process{u.Sidecar(), u.StandIn()} {
			if err := kill(ctx, p); err != nil {
				return err
			}
		}
	}
	r.meter.setSlots(left)
	return nil
}

// kill ends a process and waits for its end; nil is none.
func kill(ctx context.Context, p *harness.Process) error {
	if p == nil {
		return nil
	}
	p.Kill()
	select {
	case <-p.Done():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
