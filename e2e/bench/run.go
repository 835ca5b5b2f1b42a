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

// sampleInterval is the time between two samples of the service of the teams.
const sampleInterval = 100 * time.Millisecond

// Options set the durations of a run and whether to run the baseline.
type Options struct {
	// Window is the length of the measured window; a fault lengthens it.
	Window time.Duration
	// Warmup is the time from the start of the callers to that of the window.
	Warmup time.Duration
	// Baseline also runs the baseline, at the same time.
	Baseline bool
}

// scenarioRun is a run of one scenario on one fleet.
type scenarioRun struct {
	scenario Scenario
	baseline bool
	fleet    *harness.Fleet
	load     *loadGenerator
	meter    *meter
	gap      *GapTracker
	// recoveredGap tracks the gap of a window that starts at the end of the recovery.
	recoveredGap *GapTracker

	// start and end limit the window; healed is the time of Fault.Heal.
	start, healed, end time.Time
	measured           measurement
}

// measurement is the result of a run.
type measurement struct {
	// gap is the fairness gap without the time from the fault to the end of the
	// recovery, gapDuring that of this time, and gapAfter that of a window that
	// starts at the end of the recovery.
	gap, gapDuring, gapAfter float64
	utilisation              float64
	jain                     float64
	// backlogged is the number of teams that were backlogged throughout.
	backlogged int
	// seconds is the length of the window.
	seconds float64
	totals  totals
	// lightWait is the longest time to a first token of the light team.
	lightWait time.Duration
	// traffic is the sum of all nodes, and controlMax the control traffic of the node
	// that sent the most, in bytes per second.
	traffic    traffic
	controlMax float64
	// nodes is the number of routers and sidecars at the end of the window.
	nodes int
	// failures counts the failed requests by reason.
	failures map[string]int
}

func (s Scenario) inventory() config.Inventory {
	shape := harness.Topology{Regions: regions, Routers: 1, Engines: enginesPerRegion, Slots: slotsPerEngine, Teams: teams}
	inv := shape.Inventory()
	for i, team := range inv.Teams {
		inv.Rules.Shares = append(inv.Rules.Shares, config.Share{Team: team.ID, Weight: s.Weights[i]})
	}
	return inv
}

// measure runs a scenario on a new fleet.
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

func newRun(s Scenario, baseline bool, f *harness.Fleet) *scenarioRun {
	m := newMeter(teams, totalSlots)
	l := &loadGenerator{scenario: s, meter: m}
	callers := 0
	for i, team := range f.Inventory.Teams {
		l.teams = append(l.teams, team.ID)
		callers += s.Callers(i)
	}
	for _, router := range f.Routers {
		l.routers = append(l.routers, router.URL())
	}
	l.client = newHTTPClient(callers)
	return &scenarioRun{
		scenario: s,
		baseline: baseline,
		fleet:    f,
		load:     l,
		meter:    m,
		gap:      NewGapTracker(s.Weights[:], totalSlots, s.largestCost()),
	}
}

// measure runs the callers and collects the figures of the window.
func (r *scenarioRun) measure(ctx context.Context, o Options) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer r.load.wait()
	defer stop()
	r.load.start(loadCtx)
	sleep(ctx, o.Warmup)

	before, err := r.readCounters(ctx)
	if err != nil {
		return err
	}
	r.meter.resetWaits()
	r.start = time.Now()
	if err := r.runWindow(ctx, o.Window, &before); err != nil {
		return err
	}
	r.end = time.Now()
	final := r.meter.samples()
	after, err := r.readCounters(ctx)
	if err != nil {
		return err
	}
	r.collectFigures(before, after, final)
	return nil
}

// counterSnapshot holds the counters of the fleet at one point in time.
type counterSnapshot struct {
	at      time.Time
	totals  totals
	traffic map[string]traffic
	// busySlotTime and usableSlotTime are read at the same time.
	busySlotTime   time.Duration
	usableSlotTime time.Duration
}

func (r *scenarioRun) readCounters(ctx context.Context) (counterSnapshot, error) {
	c := counterSnapshot{}
	var err error
	if !r.baseline {
		if c.traffic, err = scrape(ctx, r.fleet); err != nil {
			return c, err
		}
	}
	c.at = time.Now()
	c.totals = r.meter.totals()
	return c, r.readUsage(ctx, &c)
}

// readUsage reads the busy slot-time of the running upstreams and the slot-time
// for which there were requests.
func (r *scenarioRun) readUsage(ctx context.Context, c *counterSnapshot) error {
	var err error
	c.busySlotTime, err = readBusySlotTime(ctx, r.runningUpstreams())
	c.usableSlotTime = r.meter.totals().usableSlotTime
	return err
}

func (r *scenarioRun) runningUpstreams() []*harness.Upstream {
	var out []*harness.Upstream
	for _, u := range r.fleet.Upstreams {
		if u.StandIn().Running() {
			out = append(out, u)
		}
	}
	return out
}

// runWindow samples the service of the teams and injects the fault.
func (r *scenarioRun) runWindow(ctx context.Context, window time.Duration, before *counterSnapshot) error {
	fault := r.scenario.Fault
	if fault == nil {
		r.sample(ctx, window)
		return ctx.Err()
	}
	r.sample(ctx, fault.After)
	if err := fault.Inject(ctx, r); err != nil {
		return eris.Wrap(ErrRun, err.Error())
	}
	r.sample(ctx, fault.Duration)
	if fault.Heal == nil {
		// From here on, utilisation counts only the upstreams that still run.
		if err := r.readUsage(ctx, before); err != nil {
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
	r.recoveredGap = NewGapTracker(r.scenario.Weights[:], totalSlots, r.scenario.largestCost())
	r.sample(ctx, window/2)
	return ctx.Err()
}

// sample records samples for the duration d, the first at its start.
func (r *scenarioRun) sample(ctx context.Context, d time.Duration) {
	deadline := time.Now().Add(d)
	for now := time.Now(); now.Before(deadline) && ctx.Err() == nil; now = time.Now() {
		samples := r.meter.samples()
		r.gap.Observe(now, samples)
		if r.recoveredGap != nil {
			r.recoveredGap.Observe(now, samples)
		}
		sleep(ctx, min(sampleInterval, time.Until(deadline)))
	}
}

// collectFigures computes the measurement.
func (r *scenarioRun) collectFigures(before, after counterSnapshot, final []TeamSample) {
	m := &r.measured
	r.collectGaps(final)
	m.utilisation = float64(after.busySlotTime-before.busySlotTime) / float64(after.usableSlotTime-before.usableSlotTime)
	m.seconds = after.at.Sub(before.at).Seconds()
	m.totals.completed = after.totals.completed - before.totals.completed
	m.totals.failed = after.totals.failed - before.totals.failed
	m.failures = r.meter.failures
	if r.scenario.LightTeam != noTeam {
		m.lightWait = r.meter.longestFirstTokenWait(r.scenario.LightTeam)
	}
	for id, t := range after.traffic {
		sent := t.sub(before.traffic[id])
		m.traffic = m.traffic.add(sent)
		m.controlMax = max(m.controlMax, float64(sent.control)/m.seconds)
		m.nodes++
	}
}

// collectGaps computes the largest gap of the window. If the fault is healed, the
// time from the fault to the end of the recovery is reported separately.
func (r *scenarioRun) collectGaps(final []TeamSample) {
	m := &r.measured
	m.jain = r.gap.Jain(final)
	m.backlogged = r.gap.Backlogged()
	if r.recoveredGap == nil {
		m.gap = r.gap.Max(r.start, r.end)
		return
	}
	fault := r.scenario.Fault
	faultStart := r.start.Add(fault.After)
	recovered := r.healed.Add(fault.Recovery)
	m.gap = max(r.gap.Max(r.start, faultStart), r.gap.Max(recovered, r.end))
	m.gapDuring = r.gap.Max(faultStart, recovered)
	m.gapAfter = r.recoveredGap.Max(recovered, r.end)
}

// lastRegion returns the region that faults affect.
func (r *scenarioRun) lastRegion() fleet.RegionID {
	return r.fleet.Inventory.Regions[regions-1].ID
}

func (r *scenarioRun) lastRouter() *harness.Router {
	return r.fleet.Routers[len(r.fleet.Routers)-1]
}

func cutRegion(_ context.Context, r *scenarioRun) error {
	return r.fleet.Links.CutRegion(r.lastRegion())
}

func healLinks(_ context.Context, r *scenarioRun) error {
	return r.fleet.Links.Heal()
}

func killRouter(ctx context.Context, r *scenarioRun) error {
	return kill(ctx, r.lastRouter().Process())
}

func restartRouter(ctx context.Context, r *scenarioRun) error {
	if err := r.fleet.StartRouter(ctx, r.lastRouter()); err != nil {
		return err
	}
	return r.fleet.AwaitReady(ctx)
}

// killDomain kills every process of the last region, which is one failure domain.
func killDomain(ctx context.Context, r *scenarioRun) error {
	if err := kill(ctx, r.lastRouter().Process()); err != nil {
		return err
	}
	remaining := 0
	for _, u := range r.fleet.Upstreams {
		if u.VM.Region != r.lastRegion() {
			remaining += slotsPerEngine
			continue
		}
		for _, p := range []*harness.Process{u.Sidecar(), u.StandIn()} {
			if err := kill(ctx, p); err != nil {
				return err
			}
		}
	}
	r.meter.setSlots(remaining)
	return nil
}

// kill kills a process and waits for its exit; p may be nil.
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
