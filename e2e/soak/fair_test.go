package soak

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// fairnessDuration is how long fairness is checked, from fairnessDelay after the
	// start of the load.
	fairnessDuration = 10 * time.Second
	fairnessDelay    = 3 * time.Second
)

var _ = Describe("teams whose demand exceeds the capacity", func() {
	// Guards against requests that count towards their team's service although they
	// were never sent upstream, as their callers had left before the gateway read them.
	It("get their share also through a gateway that is short of processor time", func() {
		GinkgoT().Setenv("GOMAXPROCS", "1")
		env := newEnvironment(Options{
			Gateways: 3, Engines: 3, Teams: []string{"slow", "fast", "small"}, PrefillRate: 60_000, Objective: streamObjective,
		})
		env.awaitPeers()
		ctx, cancel := context.WithCancel(context.Background())
		DeferCleanup(cancel)
		go env.Gateways[0].Throttle(ctx, throttledShare, 100*time.Millisecond)
		start := time.Now()
		env.StartLoad(11, draftWorkload(env, "slow", throttledRate, 0), draftWorkload(env, "fast", 200, 1), draftWorkload(env, "small", 4, 2))
		Expect(sleep(ctx, fairnessDelay+fairnessDuration)).To(BeTrue())
		cancel()
		env.StopLoad()
		requests, arrivals := env.Recorder.Snapshot()
		Expect(FairnessViolation(modelService, requests, arrivals, start.Add(fairnessDelay), start.Add(fairnessDelay+fairnessDuration))).To(BeEmpty())
	})
})

const (
	// throttledShare is the share of the time for which the throttled gateway runs.
	throttledShare = 0.1
	// throttledRate, in requests per second, overloads that gateway.
	throttledRate = 400
)
