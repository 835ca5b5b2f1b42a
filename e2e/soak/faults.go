package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	// meanFaultGap is the mean time between the begins of two faults; they overlap.
	meanFaultGap = 700 * time.Millisecond
	// longestFault bounds a pause, a cut or an outage.
	longestFault = 6 * time.Second
)

// faultKind is a trouble that a soak makes. run holds it for the given time, and
// undoes it.
type faultKind struct {
	name string
	run  func(ctx context.Context, w *World, g *harness.Gateway, hold time.Duration) error
}

var faultKinds = []faultKind{
	{"kill", func(ctx context.Context, w *World, g *harness.Gateway, _ time.Duration) error {
		g.Kill()
		return w.restart(ctx, g)
	}},
	{"stop", func(ctx context.Context, w *World, g *harness.Gateway, _ time.Duration) error {
		g.Terminate()
		return w.restart(ctx, g)
	}},
	{"pause", func(ctx context.Context, _ *World, g *harness.Gateway, hold time.Duration) error {
		p := g.Process
		p.Pause()
		wait(ctx, hold)
		p.Resume()
		return nil
	}},
	{"short of processor", func(ctx context.Context, _ *World, g *harness.Gateway, hold time.Duration) error {
		ctx, cancel := context.WithTimeout(ctx, hold)
		defer cancel()
		g.Throttle(ctx, 0.2, 100*time.Millisecond)
		return nil
	}},
	{"hang up", func(_ context.Context, _ *World, g *harness.Gateway, _ time.Duration) error {
		return syscall.Kill(g.PID(), syscall.SIGHUP)
	}},
	{"cut", func(ctx context.Context, w *World, g *harness.Gateway, hold time.Duration) error {
		w.Isolate(g)
		wait(ctx, hold)
		return w.Heal()
	}},
	{"silence", func(ctx context.Context, w *World, g *harness.Gateway, hold time.Duration) error {
		g.Link.Freeze()
		wait(ctx, hold)
		return w.Heal()
	}},
	{"reset", func(_ context.Context, _ *World, g *harness.Gateway, _ time.Duration) error {
		g.Link.Reset()
		return nil
	}},
	{"store away", func(ctx context.Context, w *World, _ *harness.Gateway, hold time.Duration) error {
		if err := w.Control.Set(ctx, map[string]any{"outage": true}); err != nil {
			return err
		}
		wait(ctx, hold)
		return w.Control.Set(context.WithoutCancel(ctx), map[string]any{"outage": false})
	}},
	{"upstreams send without end", func(ctx context.Context, w *World, _ *harness.Gateway, hold time.Duration) error {
		w.Plain[0].endless.Store(true)
		wait(ctx, hold)
		w.Plain[0].endless.Store(false)
		return nil
	}},
	{"upstreams fail", func(ctx context.Context, w *World, _ *harness.Gateway, hold time.Duration) error {
		for _, p := range w.Plain {
			p.failing.Store(700)
		}
		wait(ctx, hold)
		for _, p := range w.Plain {
			p.failing.Store(0)
		}
		return nil
	}},
}

// restart starts a gateway again once its process has ended. Faults of the same
// gateway follow each other.
func (w *World) restart(ctx context.Context, g *harness.Gateway) error {
	if err := g.Wait(ctx); ctx.Err() != nil {
		return err
	}
	return w.Start(g)
}

// Faults makes troubles drawn by a seed until ctx ends, and returns what it did, a
// line each. All are undone when it returns.
func (w *World) Faults(ctx context.Context, seed uint64) (string, error) {
	random := rand.New(rand.NewPCG(seed, 0))
	began := time.Now()
	busy := make(map[*harness.Gateway]chan struct{})
	for _, g := range w.Gateways {
		busy[g] = make(chan struct{}, 1)
	}
	var lines []string
	failed := make(chan error, 1000)
	var running int
	for {
		gap := time.Duration(random.ExpFloat64() * float64(meanFaultGap))
		kind := faultKinds[random.IntN(len(faultKinds))]
		g := w.Gateways[random.IntN(len(w.Gateways))]
		hold := time.Duration(random.Int64N(int64(longestFault)))
		if !wait(ctx, gap) {
			break
		}
		lines = append(lines, fmt.Sprintf("%.2f s: %s of %s for %v", time.Since(began).Seconds(), kind.name, g.Name, hold.Round(time.Millisecond)))
		running++
		go func() {
			busy[g] <- struct{}{}
			defer func() { <-busy[g] }()
			failed <- kind.run(context.WithoutCancel(ctx), w, g, hold)
		}()
	}
	var first error
	for range running {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	return strings.Join(lines, "\n"), first
}
