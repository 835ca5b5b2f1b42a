package partition

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	specTimeout = 90 * time.Second
	// progressTimeout is the time within which traffic must resume after a fault.
	progressTimeout = 10 * time.Second
	// minProgress is the number of complete responses that proves that traffic
	// flows.
	minProgress = 50
	// workersPerRouter is large enough for every router to need slots of all
	// regions.
	workersPerRouter = 6
	// spillAfter is short, so that demand soon reaches the other regions.
	spillAfter = 20 * time.Millisecond
)

func TestPartition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "partition")
}

var _ = Describe("a fleet of three regions under load", func() {
	var (
		ctx   context.Context
		f     *harness.Fleet
		teams = []fleet.TeamID{"team-1", "team-2"}
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 3, Routers: 1, Engines: 2, Slots: 2, Teams: 2}
		inv := shape.Inventory()
		inv.Rules.SpillAfter = config.Duration(spillAfter)
		var err error
		f, err = harness.NewFleet(ctx, inv, harness.Options{
			Proxied:    true,
			EngineArgs: []string{"--token-interval-ms", "2"},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
	})

	startLoad := func(routers ...*harness.Router) *harness.Load {
		load := f.StartLoad(ctx, harness.LoadOptions{
			Routers: routers, Teams: teams, Workers: workersPerRouter, MaxTokens: 10, Stream: true,
		})
		DeferCleanup(load.Stop)
		expectProgress(load)
		return load
	}

	It("serves on both sides of a cut region, twice, and heals", func() {
		connectedLoad := startLoad(f.Routers[0], f.Routers[1])
		cutLoad := startLoad(f.Routers[2])
		for range 2 {
			Expect(f.Links.CutRegion("region-3")).To(Succeed())
			expectProgress(connectedLoad)
			expectProgress(cutLoad)
			Expect(f.Links.Heal()).To(Succeed())
			expectServedEverywhere(ctx, f, connectedLoad, cutLoad)
		}
		connectedLoad.Stop()
		cutLoad.Stop()
		// The cut may interrupt responses visibly, cause refusals or leave the outcome
		// of both attempts unknown. No other failure is allowed.
		for _, load := range []*harness.Load{connectedLoad, cutLoad} {
			Expect(load.Failures()).To(HaveLen(load.Interrupted() + load.Refused() + load.UnknownOutcomes()))
		}
	})

	It("keeps its engines busy while a router is frozen", func() {
		frozenLoad := startLoad(f.Routers[2])
		otherLoad := startLoad(f.Routers[0], f.Routers[1])
		f.Routers[2].Process().Pause()
		expectProgress(otherLoad)
		expectServedEverywhere(ctx, f, otherLoad)
		f.Routers[2].Process().Resume()
		expectProgress(frozenLoad)
		otherLoad.Stop()
		Expect(otherLoad.Failures()).To(BeEmpty())
	})

	It("serves while the platform is down", func() {
		Expect(f.Platform.Set(ctx, map[string]bool{"outage": true})).To(Succeed())
		load := startLoad(f.Routers...)
		expectProgress(load)
		load.Stop()
		Expect(load.Failures()).To(BeEmpty())
	})

	It("serves through a cut region, a frozen router and an outage at once", func() {
		load := startLoad(f.Routers[0])
		Expect(f.Platform.Set(ctx, map[string]bool{"outage": true})).To(Succeed())
		Expect(f.Links.CutRegion("region-3")).To(Succeed())
		f.Routers[1].Process().Pause()
		expectProgress(load)
		f.Routers[1].Process().Resume()
		Expect(f.Links.Heal()).To(Succeed())
		Expect(f.Platform.Set(ctx, map[string]bool{"outage": false})).To(Succeed())
		expectServedEverywhere(ctx, f, load)
		load.Stop()
		Expect(load.Failures()).To(HaveLen(load.Interrupted() + load.Refused() + load.UnknownOutcomes()))
	})

	It("loses no request when a router stops gracefully", func() {
		stopping := f.Routers[1]
		otherLoad := startLoad(f.Routers[0], f.Routers[2])
		client := f.Client(stopping, teams[0])
		DeferCleanup(client.Close)
		answers := make(chan error, workersPerRouter)
		for range workersPerRouter {
			go func() {
				req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "long", MaxTokens: 300, Stream: true}
				answers <- harness.VerifyCompletion(req, client.Complete(ctx, req, nil))
			}()
		}
		Eventually(func() int { return inFlight(ctx, stopping) }).WithTimeout(progressTimeout).Should(Equal(workersPerRouter))
		stopping.Process().Terminate()
		for range workersPerRouter {
			Expect(<-answers).To(Succeed())
		}
		Expect(stopping.Process().Wait(ctx)).To(Succeed())
		expectProgress(otherLoad)
		otherLoad.Stop()
		Expect(otherLoad.Failures()).To(BeEmpty())
	})
})

// expectProgress waits for minProgress more complete responses.
func expectProgress(load *harness.Load) {
	GinkgoHelper()
	before := load.Completed()
	Eventually(load.Completed).WithTimeout(progressTimeout).Should(BeNumerically(">=", before+minProgress),
		"failures: %v", load.Failures())
}

// expectServedEverywhere waits for progress of each load, and until every engine
// has started a new request.
func expectServedEverywhere(ctx context.Context, f *harness.Fleet, loads ...*harness.Load) {
	GinkgoHelper()
	for _, load := range loads {
		expectProgress(load)
	}
	before := make([]uint64, len(f.Upstreams))
	for i, u := range f.Upstreams {
		counters, err := u.Control.EngineCounters(ctx)
		Expect(err).NotTo(HaveOccurred())
		before[i] = counters.Started
	}
	for i, u := range f.Upstreams {
		Eventually(func() (uint64, error) {
			counters, err := u.Control.EngineCounters(ctx)
			return counters.Started, err
		}).WithTimeout(progressTimeout).Should(BeNumerically(">", before[i]), "engine %s", u.ID)
	}
}
