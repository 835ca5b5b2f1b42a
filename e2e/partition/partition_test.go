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
	// progressBound is how soon traffic goes on after a fault.
	progressBound = 10 * time.Second
	// progress is the count of whole answers that shows that traffic goes on.
	progress = 50
	// workers is enough for every router to need the slots of all regions.
	workers = 6
	// spillAfter lets demand reach the other regions soon.
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
			Routers: routers, Teams: teams, Workers: workers, MaxTokens: 10, Stream: true,
		})
		DeferCleanup(load.Stop)
		expectProgress(load)
		return load
	}

	It("serves on both sides of a cut region, twice, and heals", func() {
		near := startLoad(f.Routers[0], f.Routers[1])
		far := startLoad(f.Routers[2])
		for range 2 {
			Expect(f.Links.CutRegion("region-3")).To(Succeed())
			expectProgress(near)
			expectProgress(far)
			Expect(f.Links.Heal()).To(Succeed())
			expectServedEverywhere(ctx, f, near, far)
		}
		near.Stop()
		far.Stop()
		// A cut may break answers off visibly, or leave both attempts' outcomes
		// unknown; nothing else is allowed.
		for _, load := range []*harness.Load{near, far} {
			Expect(load.Failures()).To(HaveLen(load.Interrupted() + load.Refused() + load.UnknownOutcomes()))
		}
	})

	It("is not idled by a frozen router", func() {
		frozen := startLoad(f.Routers[2])
		rest := startLoad(f.Routers[0], f.Routers[1])
		f.Routers[2].Process().Pause()
		expectProgress(rest)
		expectServedEverywhere(ctx, f, rest)
		f.Routers[2].Process().Resume()
		expectProgress(frozen)
		rest.Stop()
		Expect(rest.Failures()).To(BeEmpty())
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
		rest := startLoad(f.Routers[0], f.Routers[2])
		client := f.Client(stopping, teams[0])
		DeferCleanup(client.Close)
		answers := make(chan error, workers)
		for range workers {
			go func() {
				req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "long", MaxTokens: 300, Stream: true}
				answers <- harness.VerifyCompletion(req, client.Complete(ctx, req, nil))
			}()
		}
		Eventually(func() int { return inFlight(ctx, stopping) }).WithTimeout(progressBound).Should(Equal(workers))
		stopping.Process().Terminate()
		for range workers {
			Expect(<-answers).To(Succeed())
		}
		Expect(stopping.Process().Wait(ctx)).To(Succeed())
		expectProgress(rest)
		rest.Stop()
		Expect(rest.Failures()).To(BeEmpty())
	})
})

// expectProgress waits for whole answers after now.
func expectProgress(load *harness.Load) {
	GinkgoHelper()
	before := load.Completed()
	Eventually(load.Completed).WithTimeout(progressBound).Should(BeNumerically(">=", before+progress),
		"failures: %v", load.Failures())
}

// expectServedEverywhere waits until every engine has started new work.
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
		}).WithTimeout(progressBound).Should(BeNumerically(">", before[i]), "engine %s", u.ID)
	}
}
