package soak

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	fairObjective = 400 * time.Millisecond
	// fairSpan is how long the load is judged, after fairStart.
	fairSpan  = 10 * time.Second
	fairStart = 3 * time.Second
)

// drafts are streams of a team, all through one gateway.
func drafts(w *World, team string, rate float64, gateway int) *Source {
	return &Source{
		Service: modelService, Team: team, Path: "/draft/1", Rate: rate, Gateways: w.Callers(gateway),
		Objective: fairObjective, Deadline: 5 * time.Second, Patience: time.Second,
		Shared: 2000, Own: 2000, Output: 4, Prompts: 2,
	}
}

var _ = Describe("teams that ask for more than there is", func() {
	// Guards against requests that count as served though nothing of them was sent:
	// their callers had left before they were read.
	It("get their share also through a gateway that is short of processor time", func() {
		GinkgoT().Setenv("GOMAXPROCS", "1")
		w := newWorld(Shape{
			Gateways: 3, Engines: 3, Teams: []string{"slow", "fast", "small"}, PrefillRate: 60_000, Objective: fairObjective,
		})
		w.settled()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go w.Gateways[0].Throttle(ctx, throttledShare, 100*time.Millisecond)
		began := time.Now()
		w.Load(11, drafts(w, "slow", throttledRate, 0), drafts(w, "fast", 200, 1), drafts(w, "small", 4, 2))
		Expect(wait(ctx, fairStart+fairSpan)).To(BeTrue())
		cancel()
		w.StopLoad()
		asks, arrivals := w.Record.Seen()
		Expect(Unfair(modelService, asks, arrivals, began.Add(fairStart), began.Add(fairStart+fairSpan))).To(BeEmpty())
	})
})

const (
	// throttledShare and throttledRate are a processor share and requests a second
	// that are too many for it.
	throttledShare = 0.1
	throttledRate  = 400
)
