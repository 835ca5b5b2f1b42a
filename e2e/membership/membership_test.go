package membership

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	specTimeout = 120 * time.Second
	// drainTimeout is the time within which a leaving upstream must stop receiving
	// new requests.
	drainTimeout = 3 * time.Second
	// returnTimeout is the time within which a returned upstream must receive its
	// full share of requests.
	returnTimeout = 5 * time.Second
	// shareWindow is the period over which shares are measured.
	shareWindow = 500 * time.Millisecond
	// minShareRatio is the ratio to the mean of the other upstreams from which on
	// an upstream has its full share.
	minShareRatio = 0.7
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

var _ = Describe("an upstream under load", func() {
	var (
		ctx  context.Context
		f    *harness.Fleet
		load *harness.Load
	)

	BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 2, Engines: 3, Slots: 2, Teams: 2}
		var err error
		f, err = harness.NewFleet(ctx, shape.Inventory(), harness.Options{EngineArgs: []string{"--token-interval-ms", "2"}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
		load = f.StartLoad(ctx, harness.LoadOptions{
			Routers:   f.Routers,
			Teams:     []fleet.TeamID{"team-1", "team-2"},
			Workers:   4,
			MaxTokens: 10,
			Stream:    true,
		})
		DeferCleanup(load.Stop)
		for _, u := range f.Upstreams {
			expectFullShare(ctx, f, u)
		}
	})

	runUpstreamCommand := func(command string, u *harness.Upstream) {
		_, err := f.Run(ctx, "upstream", command, "--admin", f.Routers[0].AdminURL(), "--token", harness.AdminToken, string(u.ID))
		Expect(err).NotTo(HaveOccurred())
	}

	setVM := func(u *harness.Upstream, incarnation uint64, state string) {
		vms := f.LiveVMs()
		for i := range vms {
			if vms[i].ID == string(u.VM.ID) {
				vms[i].Incarnation = incarnation
				vms[i].State = state
			}
		}
		Expect(f.Platform.SetVMs(ctx, vms)).To(Succeed())
	}

	restartSidecar := func(u *harness.Upstream) {
		u.Sidecar().Terminate()
		Expect(u.Sidecar().Wait(ctx)).To(Succeed())
		u.Incarnation++
		Expect(f.StartSidecar(ctx, u)).To(Succeed())
	}

	It("leaves and returns by rule, by VM list and by restart, ten times", func() {
		u := f.Upstreams[1]
		Expect(f.Platform.Set(ctx, map[string]int{"vm_lag_ms": 300})).To(Succeed())
		for cycle := range 10 {
			By("cycle " + string(rune('0'+cycle)))
			switch cycle % 4 {
			case 0:
				runUpstreamCommand("drain", u)
				expectNoNewRequests(ctx, u)
				runUpstreamCommand("return", u)
			case 1:
				// The VM list keeps showing the old incarnation as leaving.
				setVM(u, u.Incarnation, "leaving")
				expectNoNewRequests(ctx, u)
				restartSidecar(u)
			case 2:
				setVM(u, u.Incarnation, "leaving")
				runUpstreamCommand("drain", u)
				expectNoNewRequests(ctx, u)
				runUpstreamCommand("return", u)
				setVM(u, u.Incarnation, "live")
			case 3:
				// Restarts the sidecar while the VM list shows leaving and live in
				// quick succession.
				setVM(u, u.Incarnation, "leaving")
				setVM(u, u.Incarnation, "live")
				restartSidecar(u)
			}
			expectFullShare(ctx, f, u)
		}
		load.Stop()
		Expect(load.Failures()).To(BeEmpty())
	})

	It("loses no request when its sidecar stops gracefully", func() {
		for _, u := range f.Upstreams {
			restartSidecar(u)
			expectFullShare(ctx, f, u)
		}
		load.Stop()
		Expect(load.Failures()).To(BeEmpty())
	})

	It("returns after its engine crashed and was restarted", func() {
		u := f.Upstreams[0]
		u.StandIn().Kill()
		Expect(u.StandIn().Wait(ctx)).NotTo(Succeed())
		Expect(f.StartUpstream(ctx, u)).To(Succeed())
		expectFullShare(ctx, f, u)
	})
})

// expectNoNewRequests waits until the upstream has started no request for
// shareWindow, and fails if that takes longer than drainTimeout.
func expectNoNewRequests(ctx context.Context, u *harness.Upstream) {
	GinkgoHelper()
	last := started(ctx, u)
	since := time.Now()
	Eventually(func(g Gomega) {
		if now := started(ctx, u); now != last {
			last = now
			since = time.Now()
		}
		g.Expect(time.Since(since)).To(BeNumerically(">=", shareWindow))
	}).WithTimeout(drainTimeout + shareWindow).WithPolling(20 * time.Millisecond).Should(Succeed())
}

// expectFullShare waits until the upstream receives its full share of requests
// over shareWindow.
func expectFullShare(ctx context.Context, f *harness.Fleet, u *harness.Upstream) {
	GinkgoHelper()
	windowStart := time.Now()
	before := startedCounts(ctx, f)
	Eventually(func(g Gomega) {
		g.Expect(time.Since(windowStart)).To(BeNumerically(">=", shareWindow))
		after := startedCounts(ctx, f)
		own, others := shares(f, u, before, after)
		windowStart = time.Now()
		before = after
		g.Expect(own).To(BeNumerically(">=", minShareRatio*others))
		g.Expect(own).To(BeNumerically(">", 0))
	}).WithTimeout(returnTimeout).WithPolling(20 * time.Millisecond).Should(Succeed())
}

// shares returns the requests that the upstream started between two samples, and
// the mean of the other upstreams.
func shares(f *harness.Fleet, u *harness.Upstream, before, after []int) (own, others float64) {
	for i, other := range f.Upstreams {
		delta := float64(after[i] - before[i])
		if other == u {
			own = delta
			continue
		}
		others += delta / float64(len(f.Upstreams)-1)
	}
	return own, others
}

func startedCounts(ctx context.Context, f *harness.Fleet) []int {
	out := make([]int, 0, len(f.Upstreams))
	for _, u := range f.Upstreams {
		out = append(out, started(ctx, u))
	}
	return out
}

// started returns the number of requests that the engine has started.
func started(ctx context.Context, u *harness.Upstream) int {
	GinkgoHelper()
	var counters standin.EngineCounters
	Eventually(func() (err error) {
		counters, err = u.Control.EngineCounters(ctx)
		return err
	}).Should(Succeed())
	return int(counters.Started)
}
