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
	// stopBound is how soon a leaving upstream gets no new work.
	stopBound = 3 * time.Second
	// returnBound is how soon a returned upstream has its full share.
	returnBound = 5 * time.Second
	// shareWindow is the time over which shares are compared.
	shareWindow = 500 * time.Millisecond
	// fullShare is the least part of the others' mean that is a full share.
	fullShare = 0.7
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

	operate := func(command string, u *harness.Upstream) {
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

	restart := func(u *harness.Upstream) {
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
				operate("drain", u)
				expectNoNewWork(ctx, u)
				operate("return", u)
			case 1:
				// The list goes on to say that the old incarnation leaves.
				setVM(u, u.Incarnation, "leaving")
				expectNoNewWork(ctx, u)
				restart(u)
			case 2:
				setVM(u, u.Incarnation, "leaving")
				operate("drain", u)
				expectNoNewWork(ctx, u)
				operate("return", u)
				setVM(u, u.Incarnation, "live")
			case 3:
				// A restart while the list contradicts itself.
				setVM(u, u.Incarnation, "leaving")
				setVM(u, u.Incarnation, "live")
				restart(u)
			}
			expectFullShare(ctx, f, u)
		}
		load.Stop()
		Expect(load.Failures()).To(BeEmpty())
	})

	It("loses no request when its sidecar stops gracefully", func() {
		for _, u := range f.Upstreams {
			restart(u)
			expectFullShare(ctx, f, u)
		}
		load.Stop()
		Expect(load.Failures()).To(BeEmpty())
	})

	It("returns after its engine crashed and came back", func() {
		u := f.Upstreams[0]
		u.StandIn().Kill()
		Expect(u.StandIn().Wait(ctx)).NotTo(Succeed())
		Expect(f.StartUpstream(ctx, u)).To(Succeed())
		expectFullShare(ctx, f, u)
	})
})

// expectNoNewWork waits until the upstream starts nothing for shareWindow, and
// fails if that takes longer than stopBound.
func expectNoNewWork(ctx context.Context, u *harness.Upstream) {
	GinkgoHelper()
	last := started(ctx, u)
	since := time.Now()
	Eventually(func(g Gomega) {
		if now := started(ctx, u); now != last {
			last = now
			since = time.Now()
		}
		g.Expect(time.Since(since)).To(BeNumerically(">=", shareWindow))
	}).WithTimeout(stopBound + shareWindow).WithPolling(20 * time.Millisecond).Should(Succeed())
}

// expectFullShare waits until the upstream starts as much as the others do.
func expectFullShare(ctx context.Context, f *harness.Fleet, u *harness.Upstream) {
	GinkgoHelper()
	windowStart := time.Now()
	before := counts(ctx, f)
	Eventually(func(g Gomega) {
		g.Expect(time.Since(windowStart)).To(BeNumerically(">=", shareWindow))
		after := counts(ctx, f)
		own, others := shares(f, u, before, after)
		windowStart = time.Now()
		before = after
		g.Expect(own).To(BeNumerically(">=", fullShare*others))
		g.Expect(own).To(BeNumerically(">", 0))
	}).WithTimeout(returnBound).WithPolling(20 * time.Millisecond).Should(Succeed())
}

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

func counts(ctx context.Context, f *harness.Fleet) []int {
	out := make([]int, 0, len(f.Upstreams))
	for _, u := range f.Upstreams {
		out = append(out, started(ctx, u))
	}
	return out
}

func started(ctx context.Context, u *harness.Upstream) int {
	GinkgoHelper()
	var counters standin.EngineCounters
	Eventually(func() (err error) {
		counters, err = u.Control.EngineCounters(ctx)
		return err
	}).Should(Succeed())
	return int(counters.Started)
}
