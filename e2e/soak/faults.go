package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults. Faults may
	// overlap.
	meanFaultInterval = 700 * time.Millisecond
	// maxFaultDuration bounds a fault that lasts, such as a pause or an outage.
	maxFaultDuration = 6 * time.Second
)

// namedLimits are the limits in requests per second that servers name.
var namedLimits = []float64{0, 0.4, 1.2, 3.4, 12}

// faultKind is a kind of fault.
type faultKind struct {
	name string
	// run injects the fault and reverts it. Faults that last are reverted after the
	// given duration; the others ignore it.
	run func(ctx context.Context, env *Environment, g *harness.Gateway, duration time.Duration) error
	// disrupts is set if the gateway can't be expected to keep rules with a time bound.
	disrupts bool
}

var faultKinds = []faultKind{
	{"kill", func(ctx context.Context, env *Environment, g *harness.Gateway, _ time.Duration) error {
		env.exits.expect(g.Process)
		g.Kill()
		return env.restart(ctx, g)
	}, true},
	{"stop", func(ctx context.Context, env *Environment, g *harness.Gateway, _ time.Duration) error {
		env.exits.expect(g.Process)
		end := env.recordStop(g)
		g.Terminate()
		if err := g.Wait(ctx); ctx.Err() != nil {
			return err
		}
		end()
		return env.restart(ctx, g)
	}, true},
	{"pause", func(ctx context.Context, env *Environment, g *harness.Gateway, duration time.Duration) error {
		p := g.Process
		defer env.Rules.beginGap(g.SourceAddress())()
		p.Pause()
		sleep(ctx, duration)
		p.Resume()
		return nil
	}, true},
	{"short of processor", func(ctx context.Context, _ *Environment, g *harness.Gateway, duration time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, duration)
		defer cancel()
		g.Throttle(ctx, 0.2, 100*time.Millisecond)
		return nil
	}, true},
	{"reload settings", func(_ context.Context, _ *Environment, g *harness.Gateway, _ time.Duration) error {
		return syscall.Kill(g.PID(), syscall.SIGHUP)
	}, false},
	{"cut", func(ctx context.Context, env *Environment, g *harness.Gateway, duration time.Duration) error {
		env.Isolate(g)
		sleep(ctx, duration)
		return env.Heal()
	}, true},
	{"silence", func(ctx context.Context, env *Environment, g *harness.Gateway, duration time.Duration) error {
		g.Link.Freeze()
		sleep(ctx, duration)
		return env.Heal()
	}, true},
	{"silence of the open connections to the platform", func(_ context.Context, _ *Environment, g *harness.Gateway, _ time.Duration) error {
		g.PlatformLink.Silence()
		return nil
	}, true},
	{"silence of the open connections to the platform, at all gateways", func(_ context.Context, env *Environment, _ *harness.Gateway, _ time.Duration) error {
		env.silencePlatform()
		return nil
	}, true},
	{"silence of the open sessions", func(_ context.Context, _ *Environment, g *harness.Gateway, _ time.Duration) error {
		g.Link.Silence()
		return nil
	}, true},
	{"server that leaves", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		return env.leave(ctx, duration/4, leavings[int(duration)%len(leavings)])
	}, false},
	{"server that asks for pauses", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		env.pushBackFor(ctx, env.PlainServers[int(duration)%len(env.PlainServers)], duration)
		return nil
	}, false},
	{"reset", func(_ context.Context, _ *Environment, g *harness.Gateway, _ time.Duration) error {
		g.Link.Reset()
		return nil
	}, true},
	{"platform outage", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		defer env.Rules.beginGap(env.sourceAddresses()...)()
		if err := env.Platform.Set(ctx, map[string]any{"outage": true}); err != nil {
			return err
		}
		sleep(ctx, duration)
		return env.Platform.Set(context.WithoutCancel(ctx), map[string]any{"outage": false})
	}, false},
	{"odd entries of another writer", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		return env.keepOddEntries(ctx, uint64(duration), duration)
	}, false},
	{"endless response headers", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		env.PlainServers[0].endlessHeaders.Store(true)
		sleep(ctx, duration)
		env.PlainServers[0].endlessHeaders.Store(false)
		return nil
	}, false},
	{"failing upstreams", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		for _, p := range env.PlainServers {
			p.failurePermille.Store(700)
		}
		sleep(ctx, duration)
		for _, p := range env.PlainServers {
			p.failurePermille.Store(0)
		}
		return nil
	}, false},
	{"evacuation", func(ctx context.Context, env *Environment, g *harness.Gateway, duration time.Duration) error {
		return env.evacuateFor(ctx, g.FailureDomain(), env.options.EvacuateWithin+duration/2)
	}, false},
	{"crashing prompt part", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		env.sendCrashPart(ctx, uint64(duration), duration)
		if err := env.crashError.Load(); err != nil {
			return *err
		}
		return nil
	}, false},
	{"named limit", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		s := env.servers[int(duration)%len(env.servers)]
		env.limitFor(ctx, s, namedLimits[int(duration/time.Millisecond)%len(namedLimits)], duration)
		return nil
	}, false},
	{"bytes inserted into streams", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		env.Engines[int(duration)%len(env.Engines)].insertBytes(ctx, duration)
		return nil
	}, false},
	{"repeated refusals", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		env.repeatRefusals(ctx, duration)
		return nil
	}, false},
	{"cold return", func(ctx context.Context, env *Environment, _ *harness.Gateway, duration time.Duration) error {
		return env.returnCold(ctx, env.servers[int(duration)%len(env.servers)], duration/4)
	}, false},
}

// InjectUpstreamFaults lets servers name limits, lets others return beside odd entries, and sends requests with a part that crashes
// engines, drawn from a seed, while no gateway is disrupted: gateways that were disrupted a
// short time ago are not bound by the rules on these.
func (env *Environment) InjectUpstreamFaults(ctx context.Context, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, 2))
	var faults sync.WaitGroup
	var limited []*server
	for _, servers := range [][]*server{env.servers[:len(env.PlainServers)], env.servers[len(env.PlainServers):]} {
		s := servers[random.IntN(len(servers))]
		rate := namedLimits[random.IntN(len(namedLimits))]
		limited = append(limited, s)
		faults.Go(func() { env.limitFor(ctx, s, rate, upstreamFaultDuration) })
	}
	var oddError error
	faults.Go(func() { oddError = env.checkUseBesideOddEntries(ctx, seed, upstreamFaultDuration, limited[0]) })
	faults.Go(func() { env.sendCrashPart(ctx, seed, upstreamFaultDuration) })
	faults.Wait()
	if err := env.crashError.Load(); err != nil {
		return *err
	}
	return oddError
}

// upstreamFaultDuration is how long the faults of InjectUpstreamFaults go on after
// stableWindow.
const upstreamFaultDuration = 6 * time.Second

// restart starts a gateway again once its process has exited. The caller holds the
// gateway's lock, so that no other fault hits it meanwhile.
func (env *Environment) restart(ctx context.Context, g *harness.Gateway) error {
	if err := g.Wait(ctx); ctx.Err() != nil {
		return err
	}
	if err := env.Start(g); err != nil {
		return err
	}
	env.watchExits(g)
	return nil
}

// InjectFaults injects faults drawn from a seed until ctx ends or a rule is broken, and
// reverts them. It
// returns a description of all faults, one per line, and the first error. Faults of one
// gateway run one at a time.
func (env *Environment) InjectFaults(ctx context.Context, seed uint64) (string, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	start := time.Now()
	gatewayLocks := make(map[*harness.Gateway]chan struct{})
	for _, g := range env.Gateways {
		gatewayLocks[g] = make(chan struct{}, 1)
	}
	var injected []string
	results := make(chan error, 1000)
	// A server leaves beside all other faults.
	registered := time.Duration(random.Int64N(int64(maxRegisteredBeforeLeaving)))
	injected = append(injected, fmt.Sprintf("0 s: disturbed leaving after %v", registered.Round(time.Millisecond)))
	running := 1
	go func() { results <- env.leave(context.WithoutCancel(ctx), registered, disturbed) }()
	for {
		interval := time.Duration(random.ExpFloat64() * float64(meanFaultInterval))
		kind := faultKinds[random.IntN(len(faultKinds))]
		g := env.Gateways[random.IntN(len(env.Gateways))]
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		if !sleep(ctx, interval) || env.Rules.Violation() != "" {
			break
		}
		injected = append(injected, fmt.Sprintf("%.2f s: %s of %s for %v", time.Since(start).Seconds(), kind.name, g.Name, duration.Round(time.Millisecond)))
		running++
		go func() {
			gatewayLocks[g] <- struct{}{}
			defer func() { <-gatewayLocks[g] }()
			if kind.disrupts {
				defer env.Rules.beginDisruption(g.SourceAddress())()
			}
			results <- kind.run(context.WithoutCancel(ctx), env, g, duration)
		}()
	}
	var first error
	for range running {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return strings.Join(injected, "\n"), first
}
