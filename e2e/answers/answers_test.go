package answers

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	specTimeout = 60 * time.Second
	// idleTimeout is the idle timeout of the service under test.
	idleTimeout = 2 * time.Second
	// maxMemoryGrowth limits the growth of resident memory of one process, in bytes,
	// while slow callers hold their streams open.
	maxMemoryGrowth = 32 << 20
	// slowCallers is the number of slow callers.
	slowCallers = 12
	// slowTokens is the length of a response to a slow caller.
	slowTokens = 1 << 16
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "complete responses")
}

var _ = Describe("an answer", Ordered, func() {
	var (
		ctx context.Context
		f   *harness.Fleet
	)

	BeforeAll(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 2, Engines: 3, Slots: 6, Teams: 2}
		inv := shape.Inventory()
		inv.Services[0].IdleTimeout = config.Duration(idleTimeout)
		var err error
		f, err = harness.NewFleet(ctx, inv, harness.Options{
			Proxied:    true,
			EngineArgs: []string{"--token-interval-ms", "0"},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { f.Close() })
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
		awaitUpstreams(ctx, f, len(f.Upstreams))
	})

	set := func(u *harness.Upstream, settings map[string]any) {
		GinkgoHelper()
		Expect(u.Control.Set(ctx, settings)).To(Succeed())
	}
	setAll := func(settings map[string]any) {
		GinkgoHelper()
		for _, u := range f.Upstreams {
			set(u, settings)
		}
	}
	newClient := func(router int) *harness.Client {
		client := f.Client(f.Routers[router], f.Inventory.Teams[0].ID)
		DeferCleanup(client.Close)
		return client
	}

	It("is complete without faults", func() {
		l := startLoad(ctx, f, 4)
		l.awaitComplete(1000)
		l.stop()
		Expect(l.interrupted.Load()).To(BeZero())
	})

	It("is complete or visibly cut off while engines, sidecars and links fail", func() {
		l := startLoad(ctx, f, 4)
		for n := range 2 {
			for i, u := range f.Upstreams {
				By(fmt.Sprintf("round %d, upstream %s", n, u.ID))
				set(u, map[string]any{"die_after_tokens": 5 + 7*i, "resume": n == 0})
				l.awaitComplete(80)
				f.Links.Peer(u.VM.ID).Delay(3 * time.Millisecond)
				l.awaitComplete(80)
				f.Links.Peer(u.VM.ID).Reset()
				f.Links.Peer(u.VM.ID).Delay(0)
				l.awaitComplete(80)
				u.Sidecar().Kill()
				_ = u.Sidecar().Wait(ctx)
				Expect(f.StartSidecar(ctx, u)).To(Succeed())
				l.awaitComplete(80)
				u.StandIn().Kill()
				_ = u.StandIn().Wait(ctx)
				l.awaitComplete(80)
				Expect(f.StartUpstream(ctx, u)).To(Succeed())
			}
		}
		l.stop()
		Expect(l.complete.Load()).To(BeNumerically(">=", 2400))
		setAll(map[string]any{"die_after_tokens": 0, "resume": true})
		awaitUpstreams(ctx, f, len(f.Upstreams))
	})

	It("is resumed at its offset when the engine crashes mid-stream", func() {
		client := newClient(0)
		for n := range 5 {
			setAll(map[string]any{"die_after_tokens": 0})
			set(f.Upstreams[n%len(f.Upstreams)], map[string]any{"die_after_tokens": 10 + n})
			for m := range 12 {
				req := newRequest(fmt.Sprint("resumed ", n, m), 0)
				req.MaxTokens = 60
				answer := client.Complete(ctx, req, nil)
				Expect(harness.VerifyCompletion(req, answer)).To(Succeed())
				Expect(answer.Outcome).To(Equal(harness.OutcomeComplete))
			}
		}
	})

	It("breaks off visibly when no engine can resume it", func() {
		client := newClient(1)
		for n := range 5 {
			setAll(map[string]any{"resume": false, "die_after_tokens": 20})
			req := newRequest(fmt.Sprint("cut ", n), 0)
			req.MaxTokens = 60
			answer := client.Complete(ctx, req, nil)
			Expect(answer.Status).To(Equal(http.StatusOK))
			Expect(answer.Err).To(MatchError(harness.ErrInterrupted))
			Expect(answer.Outcome).NotTo(Equal(harness.OutcomeComplete))
		}
		setAll(map[string]any{"resume": true, "die_after_tokens": 0})
	})

	It("is cancelled when its caller disconnects, and its slot becomes free", func() {
		client := newClient(0)
		// The previous spec broke off streams, so sidecars may still consider the
		// engines down.
		awaitUpstreams(ctx, f, len(f.Inventory.Upstreams))
		setAll(map[string]any{"token_interval_ms": 50})
		before := sumCounters(ctx, f)
		slots := 0
		for _, u := range f.Inventory.Upstreams {
			slots += u.Slots
		}
		// Fills every slot and leaves four requests queued.
		callersCtx, disconnect := context.WithCancel(ctx)
		callers := slots + 4
		done := make(chan harness.Response, callers)
		for n := range callers {
			req := newRequest(fmt.Sprint("left ", n), n)
			req.MaxTokens = 2000
			go func() { done <- client.Complete(callersCtx, req, nil) }()
		}
		Eventually(func() int { return sumCounters(ctx, f).Running }, specTimeout).Should(Equal(slots))
		disconnect()
		for range callers {
			var answer harness.Response
			Eventually(done, specTimeout).Should(Receive(&answer))
			Expect(answer.Err).To(HaveOccurred(), "status %d, outcome %s: %s", answer.Status, answer.Outcome, answer.Body)
		}
		Eventually(func(g Gomega) {
			now := sumCounters(ctx, f)
			g.Expect(now.Running + now.Queued).To(BeZero())
			g.Expect(now.Cancelled - before.Cancelled).To(BeNumerically(">=", slots))
			g.Expect(now.Completed).To(Equal(before.Completed))
		}, specTimeout).Should(Succeed())
		setAll(map[string]any{"token_interval_ms": 0})
		req := newRequest("after the others left", 0)
		Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed())
	})

	It("comes from another engine when one hangs, refuses connections or crashes", func() {
		client := newClient(1)
		u := f.Upstreams[0]
		expectComplete := func(name string, count int) {
			GinkgoHelper()
			for n := range count {
				req := newRequest(fmt.Sprint(name, n), n)
				Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed(), name)
			}
		}
		set(u, map[string]any{"hang": true})
		expectComplete("hung ", 6)
		set(u, map[string]any{"hang": false})
		u.StandIn().Kill()
		_ = u.StandIn().Wait(ctx)
		expectComplete("refused ", 30)
		Expect(f.StartUpstream(ctx, u)).To(Succeed())
		awaitUpstreams(ctx, f, len(f.Upstreams))
	})

	It("is refused with an unknown outcome when every engine hangs", func() {
		client := newClient(0)
		setAll(map[string]any{"hang": true})
		answer := client.Complete(ctx, newRequest("all hung", 1), nil)
		Expect(answer.Status).To(Equal(http.StatusBadGateway), string(answer.Body))
		Expect(answer.Outcome).To(Equal(harness.OutcomeUnknown))
		setAll(map[string]any{"hang": false})
		Eventually(func() int { return sumCounters(ctx, f).Running }, specTimeout).Should(BeZero())
	})

	It("to slow callers is held in bounded memory and does not delay others", func() {
		setAll(map[string]any{"token_interval_ms": 0})
		before := residentMemory(f)
		var slow []*slowCaller
		for n := range slowCallers {
			req := newRequest(fmt.Sprint("slow ", n), 0)
			req.MaxTokens = slowTokens
			slow = append(slow, openSlowStream(ctx, f, n%len(f.Routers), req))
		}
		awaitEnginesStalled(ctx, f)
		for name, bytes := range residentMemory(f) {
			GinkgoWriter.Printf("%s grew by %d KB\n", name, (bytes-before[name])>>10)
			Expect(bytes-before[name]).To(BeNumerically("<", maxMemoryGrowth), name)
		}
		l := startLoad(ctx, f, 1)
		l.awaitComplete(60)
		l.stop()
		Expect(l.interrupted.Load()).To(BeZero())
		var wg sync.WaitGroup
		for _, s := range slow {
			wg.Go(func() {
				defer GinkgoRecover()
				s.expectComplete()
			})
		}
		wg.Wait()
		setAll(map[string]any{"token_interval_ms": 0})
	})
})

// sumCounters returns the sum of the counters of all engines.
func sumCounters(ctx context.Context, f *harness.Fleet) standin.EngineCounters {
	GinkgoHelper()
	var sum standin.EngineCounters
	for _, u := range f.Upstreams {
		c, err := u.Control.EngineCounters(ctx)
		Expect(err).NotTo(HaveOccurred())
		sum.Running += c.Running
		sum.Queued += c.Queued
		sum.Cancelled += c.Cancelled
		sum.Completed += c.Completed
		sum.Tokens += c.Tokens
	}
	return sum
}
