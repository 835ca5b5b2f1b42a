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
	// idleTimeout is the service's idle timeout in this suite.
	idleTimeout = 2 * time.Second
	// memoryBound is how much the slow callers may add to one process.
	memoryBound = 32 << 20
	// slowCallers is the count of slow callers, with answers of slowTokens.
	slowCallers = 12
	slowTokens  = 1 << 16
)

func TestAnswers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "whole answers")
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

	set := func(u *harness.Upstream, switches map[string]any) {
		GinkgoHelper()
		Expect(u.Control.Set(ctx, switches)).To(Succeed())
	}
	setAll := func(switches map[string]any) {
		GinkgoHelper()
		for _, u := range f.Upstreams {
			set(u, switches)
		}
	}
	newClient := func(router int) *harness.Client {
		client := f.Client(f.Routers[router], f.Inventory.Teams[0].ID)
		DeferCleanup(client.Close)
		return client
	}

	It("is whole without faults", func() {
		l := startLoad(ctx, f, 4)
		l.awaitWhole(1000)
		l.stop()
		Expect(l.broken.Load()).To(BeZero())
	})

	It("is whole or visibly broken while engines, sidecars and links fail", func() {
		l := startLoad(ctx, f, 4)
		for n := range 2 {
			for i, u := range f.Upstreams {
				By(fmt.Sprintf("round %d, upstream %s", n, u.ID))
				set(u, map[string]any{"die_after_tokens": 5 + 7*i, "resume": n == 0})
				l.awaitWhole(80)
				f.Links.Peer(u.VM.ID).Delay(3 * time.Millisecond)
				l.awaitWhole(80)
				f.Links.Peer(u.VM.ID).Reset()
				f.Links.Peer(u.VM.ID).Delay(0)
				l.awaitWhole(80)
				u.Sidecar().Kill()
				_ = u.Sidecar().Wait(ctx)
				Expect(f.StartSidecar(ctx, u)).To(Succeed())
				l.awaitWhole(80)
				u.StandIn().Kill()
				_ = u.StandIn().Wait(ctx)
				l.awaitWhole(80)
				Expect(f.StartUpstream(ctx, u)).To(Succeed())
			}
		}
		l.stop()
		Expect(l.whole.Load()).To(BeNumerically(">=", 2400))
		setAll(map[string]any{"die_after_tokens": 0, "resume": true})
		awaitUpstreams(ctx, f, len(f.Upstreams))
	})

	It("is resumed at its offset when the engine dies in mid-stream", func() {
		client := newClient(0)
		for n := range 5 {
			setAll(map[string]any{"die_after_tokens": 0})
			set(f.Upstreams[n%len(f.Upstreams)], map[string]any{"die_after_tokens": 10 + n})
			for m := range 12 {
				req := requestOf(fmt.Sprint("resumed ", n, m), 0)
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
			req := requestOf(fmt.Sprint("cut ", n), 0)
			req.MaxTokens = 60
			answer := client.Complete(ctx, req, nil)
			Expect(answer.Status).To(Equal(http.StatusOK))
			Expect(answer.Err).To(MatchError(harness.ErrInterrupted))
			Expect(answer.Outcome).NotTo(Equal(harness.OutcomeComplete))
		}
		setAll(map[string]any{"resume": true, "die_after_tokens": 0})
	})

	It("is given up when its caller leaves, and its slot is free again", func() {
		client := newClient(0)
		// Sidecars take the engines that the spec before cut off for down.
		awaitUpstreams(ctx, f, len(f.Inventory.Upstreams))
		setAll(map[string]any{"token_interval_ms": 50})
		before := totals(ctx, f)
		total := 0
		for _, u := range f.Inventory.Upstreams {
			total += u.Slots
		}
		// Some run and some wait.
		leaving, leave := context.WithCancel(ctx)
		callers := total + 4
		done := make(chan harness.Response, callers)
		for n := range callers {
			req := requestOf(fmt.Sprint("left ", n), n)
			req.MaxTokens = 2000
			go func() { done <- client.Complete(leaving, req, nil) }()
		}
		Eventually(func() int { return totals(ctx, f).Running }, specTimeout).Should(Equal(total))
		leave()
		for range callers {
			var answer harness.Response
			Eventually(done, specTimeout).Should(Receive(&answer))
			Expect(answer.Err).To(HaveOccurred(), "status %d, outcome %s: %s", answer.Status, answer.Outcome, answer.Body)
		}
		Eventually(func(g Gomega) {
			now := totals(ctx, f)
			g.Expect(now.Running + now.Queued).To(BeZero())
			g.Expect(now.Cancelled - before.Cancelled).To(BeNumerically(">=", total))
			g.Expect(now.Completed).To(Equal(before.Completed))
		}, specTimeout).Should(Succeed())
		setAll(map[string]any{"token_interval_ms": 0})
		req := requestOf("after the others left", 0)
		Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed())
	})

	It("comes from another engine when one hangs, refuses connections or dies", func() {
		client := newClient(1)
		u := f.Upstreams[0]
		check := func(name string, count int) {
			GinkgoHelper()
			for n := range count {
				req := requestOf(fmt.Sprint(name, n), n)
				Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed(), name)
			}
		}
		set(u, map[string]any{"hang": true})
		check("hung ", 6)
		set(u, map[string]any{"hang": false})
		u.StandIn().Kill()
		_ = u.StandIn().Wait(ctx)
		check("refused ", 30)
		Expect(f.StartUpstream(ctx, u)).To(Succeed())
		awaitUpstreams(ctx, f, len(f.Upstreams))
	})

	It("is refused with its fate unknown when every engine hangs", func() {
		client := newClient(0)
		setAll(map[string]any{"hang": true})
		answer := client.Complete(ctx, requestOf("all hung", 1), nil)
		Expect(answer.Status).To(Equal(http.StatusBadGateway), string(answer.Body))
		Expect(answer.Outcome).To(Equal(harness.OutcomeUnknown))
		setAll(map[string]any{"hang": false})
		Eventually(func() int { return totals(ctx, f).Running }, specTimeout).Should(BeZero())
	})

	It("to slow callers is held in bounded memory and does not delay others", func() {
		setAll(map[string]any{"token_interval_ms": 0})
		before := memoryOf(f)
		var slow []*slowCaller
		for n := range slowCallers {
			req := requestOf(fmt.Sprint("slow ", n), 0)
			req.MaxTokens = slowTokens
			slow = append(slow, openSlow(ctx, f, n%len(f.Routers), req))
		}
		awaitStalled(ctx, f)
		for name, bytes := range memoryOf(f) {
			GinkgoWriter.Printf("%s grew by %d KB\n", name, (bytes-before[name])>>10)
			Expect(bytes-before[name]).To(BeNumerically("<", memoryBound), name)
		}
		l := startLoad(ctx, f, 1)
		l.awaitWhole(60)
		l.stop()
		Expect(l.broken.Load()).To(BeZero())
		var wg sync.WaitGroup
		for _, s := range slow {
			wg.Go(func() {
				defer GinkgoRecover()
				s.finish()
			})
		}
		wg.Wait()
		setAll(map[string]any{"token_interval_ms": 0})
	})
})

// totals sums the engines' counters.
func totals(ctx context.Context, f *harness.Fleet) standin.EngineCounters {
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
