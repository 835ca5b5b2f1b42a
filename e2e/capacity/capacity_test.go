package capacity

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Length of a measurement, and of the time before it in which the fleet settles.
const (
	settleTime      = 3 * time.Second
	measureInterval = 10 * time.Second
)

func startFleet(b *testing.B, shape harness.Topology, engineArgs ...string) *harness.Fleet {
	f, err := harness.NewFleet(b.Context(), shape.Inventory(), harness.Options{EngineArgs: engineArgs})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	if err := f.Start(b.Context()); err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkIdle measures a fleet of the size of the present deployment without
// requests.
func BenchmarkIdle(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, harness.Topology{Regions: 3, Routers: 1, Engines: 4, Services: 1, Slots: 8, Teams: 16})
		<-time.After(settleTime)
		before := readFleetUsage(b, f)
		<-time.After(measureInterval)
		reportUsage(b, before, readFleetUsage(b, f), 0)
		f.Close()
	}
}

// BenchmarkRate measures one router and two sidecars at a fixed rate of streamed
// requests.
func BenchmarkRate(b *testing.B) {
	for _, c := range []struct{ rate, tokens int }{{8, 1}, {8, 240}, {200, 1}, {200, 40}} {
		b.Run(fmt.Sprintf("rate=%d/tokens=%d", c.rate, c.tokens), func(b *testing.B) {
			for b.Loop() {
				f := startFleet(b, harness.Topology{Regions: 1, Routers: 1, Engines: 2, Slots: 128, Teams: 16}, "--token-interval-ms", "10")
				measureRate(b, f, c.rate, c.tokens)
				f.Close()
			}
		})
	}
}

func measureRate(b *testing.B, f *harness.Fleet, perSecond, tokens int) {
	stop := startOpenLoad(b, f, perSecond, tokens)
	<-time.After(settleTime)
	before := readFleetUsage(b, f)
	<-time.After(measureInterval)
	after := readFleetUsage(b, f)
	stop()
	requests := after.routers[0].expvars.Completed - before.routers[0].expvars.Completed
	b.ReportMetric(requests, "requests")
	reportUsage(b, before, after, requests)
}

// startOpenLoad sends requests at a fixed rate, regardless of their results, until
// the returned function is called. That function waits for outstanding requests.
func startOpenLoad(b *testing.B, f *harness.Fleet, perSecond, tokens int) func() {
	ctx, cancel := context.WithCancel(b.Context())
	var clients []*harness.Client
	for _, team := range f.Inventory.Teams {
		clients = append(clients, f.Client(f.Routers[0], team.ID))
	}
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; limiter.Wait(ctx) == nil; i++ {
			wg.Go(func() { sendCompletion(b, clients[i%len(clients)], i, tokens) })
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

func sendCompletion(b *testing.B, client *harness.Client, i, tokens int) {
	req := standin.CompletionRequest{
		Model: string(harness.ModelService), Prompt: fmt.Sprint("request ", i), MaxTokens: tokens, Stream: true,
	}
	if err := harness.VerifyCompletion(req, client.Complete(b.Context(), req, nil)); err != nil && b.Context().Err() == nil {
		b.Errorf("request %d: %v", i, err)
	}
}

// BenchmarkBacklog measures a fleet of the size of the present deployment with every
// team backlogged at every router.
func BenchmarkBacklog(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, harness.Topology{Regions: 3, Routers: 1, Engines: 4, Slots: 4, Teams: 16}, "--token-interval-ms", "10")
		load := f.StartLoad(b.Context(), harness.LoadOptions{
			Routers: f.Routers, Teams: teamIDs(f), Workers: 8, MaxTokens: 40, Stream: true,
		})
		<-time.After(settleTime)
		before := readFleetUsage(b, f)
		<-time.After(measureInterval)
		after := readFleetUsage(b, f)
		requests := 0.0
		for i := range after.routers {
			requests += after.routers[i].expvars.Completed - before.routers[i].expvars.Completed
		}
		b.ReportMetric(requests, "requests")
		reportUsage(b, before, after, requests)
		load.Stop()
		f.Close()
	}
}

// BenchmarkHeld measures the memory of requests that wait at a router, and of streams
// in flight.
func BenchmarkHeld(b *testing.B) {
	for _, c := range []struct {
		name  string
		slots int
	}{{"waiting", 1}, {"in-flight", 1000}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				f := startFleet(b, harness.Topology{Regions: 1, Routers: 1, Engines: 2, Slots: c.slots, Teams: 16}, "--token-interval-ms", "500")
				measureHeld(b, f)
				f.Close()
			}
		})
	}
}

// measureHeld opens requests that outlast the measurement, and cancels them after it.
func measureHeld(b *testing.B, f *harness.Fleet) {
	const held = 800
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	before := readFleetUsage(b, f)
	var wg sync.WaitGroup
	for i := range held {
		client := f.Client(f.Routers[0], f.Inventory.Teams[i%len(f.Inventory.Teams)].ID)
		wg.Go(func() {
			defer client.Close()
			req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: fmt.Sprint(i), MaxTokens: 200, Stream: true}
			client.Complete(ctx, req, nil)
		})
	}
	<-time.After(settleTime)
	after := readFleetUsage(b, f)
	b.ReportMetric(after.routers[0].expvars.InFlight, "in-flight")
	b.ReportMetric((after.routers[0].resident-before.routers[0].resident)/held, "router-resident-B/request")
	b.ReportMetric((after.routers[0].heapAndStack()-before.routers[0].heapAndStack())/held, "router-heap-and-stack-B/request")
	sidecars := 0.0
	for i := range after.sidecars {
		sidecars += after.sidecars[i].resident - before.sidecars[i].resident
	}
	b.ReportMetric(sidecars/held, "sidecar-resident-B/request")
	cancel()
	wg.Wait()
}

func teamIDs(f *harness.Fleet) []fleet.TeamID {
	var ids []fleet.TeamID
	for _, team := range f.Inventory.Teams {
		ids = append(ids, team.ID)
	}
	return ids
}
