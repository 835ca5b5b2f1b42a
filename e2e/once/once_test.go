package once

import (
	"context"
	"encoding/json"
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
	"fulmarspindle.example/fulmarspindle/operator"
)

const (
	specTimeout = 60 * time.Second
	// refusalTimeout is the time within which a request must be refused during a
	// platform outage.
	refusalTimeout = 5 * time.Second
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "at most once")
}

var _ = Describe("a non-idempotent request", Ordered, func() {
	var (
		ctx context.Context
		f   *harness.Fleet
	)

	BeforeAll(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 2*specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 3, Engines: 1, Services: 2, Slots: 4, Teams: 2}
		var err error
		f, err = harness.NewFleet(ctx, withOrdersRule(shape.Inventory()), harness.Options{
			Proxied:    true,
			EngineArgs: []string{"--token-interval-ms", "1"},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { f.Close() })
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
	})

	configurePlatform := func(s map[string]any) { Expect(f.Platform.Set(ctx, s)).To(Succeed()) }
	configureServices := func(s map[string]any) {
		for _, u := range plainUpstreams(f) {
			Expect(u.Control.Set(ctx, s)).To(Succeed())
		}
	}
	restartRouter := func(r *harness.Router) {
		Expect(f.StartRouter(ctx, r)).To(Succeed())
		Expect(f.AwaitReady(ctx)).To(Succeed())
		awaitRouters(ctx, f)
	}
	// awaitRunning waits until a service is running a request and returns an
	// upstream that does.
	awaitRunning := func() *harness.Upstream {
		var found *harness.Upstream
		Eventually(func(g Gomega) {
			for _, u := range plainUpstreams(f) {
				counters, err := u.Control.ServiceCounters(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				if counters.Running > 0 {
					found = u
				}
			}
			g.Expect(found).NotTo(BeNil())
		}, specTimeout).Should(Succeed())
		return found
	}
	openClients := func() []*harness.Client {
		clients := newClients(f, f.Inventory.Teams[0].ID)
		DeferCleanup(func() { closeAll(clients) })
		return clients
	}

	BeforeAll(func() { awaitRouters(ctx, f) })

	It("runs once and has a complete response, without faults", func() {
		b := &batch{name: "calm", workers: 6, ordersPerWorker: 10}
		b.start(ctx, f)
		Expect(b.finish(ctx, f)).To(Equal(b.total()))
	})

	It("runs once although responses of the platform to claims are lost", func() {
		configurePlatform(map[string]any{"lose_answers": 20, "lose_answers_prefix": "spindle-claims"})
		b := &batch{name: "lost-claim", workers: 6, ordersPerWorker: 10}
		b.start(ctx, f)
		Expect(b.finish(ctx, f)).To(Equal(b.total()))
		counters, err := f.Platform.PlatformCounters(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(counters.Lost).To(BeNumerically(">=", 20))
	})

	It("runs once when the same key is sent through all routers concurrently", func() {
		clients := openClients()
		for n := range 20 {
			key := fmt.Sprintf("same-%d", n)
			attempts := make([]*order, 2*len(clients))
			var wg sync.WaitGroup
			for i := range attempts {
				attempts[i] = newOrder(key, orderCostMs)
				wg.Go(func() { attempts[i].send(ctx, clients[i%len(clients)]) })
			}
			wg.Wait()
			combined := newOrder(key, orderCostMs)
			for _, a := range attempts {
				combined.responses = append(combined.responses, a.responses...)
			}
			combined.check(countRuns(ctx, f)[key])
			for _, a := range combined.responses {
				Expect(a.Outcome).To(Equal(harness.OutcomeComplete), combined.String())
			}
		}
	})

	It("is refused immediately as not run during an outage, while other requests succeed", func() {
		clients := openClients()
		configurePlatform(map[string]any{"outage": true})
		var refused []*order
		for n, client := range clients {
			o := newOrder(fmt.Sprintf("outage-%d", n), orderCostMs)
			a := o.send(ctx, client)
			Expect(a.Status).To(Equal(http.StatusServiceUnavailable), o.String())
			Expect(a.Outcome).To(Equal(harness.OutcomeNotRun))
			Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(a.Total).To(BeNumerically("<", refusalTimeout))
			refused = append(refused, o)
			get := client.CallService(ctx, http.MethodGet, string(harness.PlainService), "/stock", "", nil)
			Expect(get.Status).To(Equal(http.StatusOK), string(get.Body))
			req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: fmt.Sprint("outage ", n), MaxTokens: 5}
			Expect(harness.VerifyCompletion(req, client.Complete(ctx, req, nil))).To(Succeed())
		}
		runs := countRuns(ctx, f)
		for _, o := range refused {
			o.check(runs[o.key])
		}
		configurePlatform(map[string]any{"outage": false})
		for n, o := range refused {
			client := clients[(n+1)%len(clients)]
			Eventually(func() string { return o.send(ctx, client).Outcome }, specTimeout).
				Should(Equal(harness.OutcomeComplete))
			o.check(countRuns(ctx, f)[o.key])
		}
	})

	It("runs once while the platform is slow, unavailable and loses responses in turn", func() {
		b := &batch{name: "platform", workers: 6, ordersPerWorker: 10}
		configurePlatform(map[string]any{"delay_ms": 30, "lose_answers": 10, "lose_answers_prefix": "spindle-claims"})
		b.start(ctx, f)
		b.awaitFinished(b.total() / 4)
		configurePlatform(map[string]any{"outage": true})
		b.awaitFinished(b.total() / 2)
		configurePlatform(map[string]any{"outage": false, "lose_answers": 10})
		b.finish(ctx, f)
		configurePlatform(map[string]any{"delay_ms": 0, "lose_answers": 0})
	})

	It("runs at most once when its router is killed mid-run", func() {
		b := &batch{name: "router-killed", workers: 6, ordersPerWorker: 12}
		b.start(ctx, f)
		for n, router := range f.Routers[:2] {
			b.awaitFinished((n + 1) * b.total() / 4)
			awaitRunning()
			router.Process().Kill()
			_ = router.Process().Wait(ctx)
			restartRouter(router)
		}
		Expect(b.finish(ctx, f)).To(BeNumerically(">", 0))
	})

	It("reports the correct outcome to callers after a router was killed", func() {
		clients := openClients()
		o := newOrder("killed-claimed", 5000)
		sent := make(chan harness.Response, 1)
		go func() { sent <- o.send(ctx, clients[0]) }()
		u := awaitRunning()
		f.Routers[0].Process().Kill()
		Eventually(sent, specTimeout).Should(Receive(HaveField("Err", HaveOccurred())))
		second := o.send(ctx, clients[1])
		Expect(second.Status).To(Equal(http.StatusConflict), o.String())
		Expect(second.Outcome).To(Equal(harness.OutcomeUnknown))
		runs, err := u.Control.RunCounts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(runs[o.key]).To(Equal(1))
		restartRouter(f.Routers[0])
		o.send(ctx, clients[0])
		o.check(countRuns(ctx, f)[o.key])
	})

	It("runs at most once when its router is killed or paused while it claims", func() {
		clients := openClients()
		configurePlatform(map[string]any{"delay_ms": 300})
		for n, pause := range []bool{false, true} {
			before, err := f.Platform.PlatformCounters(ctx)
			Expect(err).NotTo(HaveOccurred())
			o := newOrder(fmt.Sprint("claiming-", n), orderCostMs)
			sent := make(chan harness.Response, 1)
			go func() { sent <- o.send(ctx, clients[0]) }()
			Eventually(func(g Gomega) {
				now, err := f.Platform.PlatformCounters(ctx)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(now.Put).To(BeNumerically(">", before.Put))
			}, specTimeout).Should(Succeed())
			router := f.Routers[0]
			if pause {
				router.Process().Pause()
			} else {
				router.Process().Kill()
				Eventually(sent, specTimeout).Should(Receive())
			}
			retried := newOrder(o.key, orderCostMs)
			retried.send(ctx, clients[1])
			retried.send(ctx, clients[2])
			if pause {
				router.Process().Resume()
				Eventually(sent, specTimeout).Should(Receive())
			} else {
				restartRouter(router)
			}
			o.responses = append(o.responses, retried.responses...)
			o.check(countRuns(ctx, f)[o.key])
		}
		configurePlatform(map[string]any{"delay_ms": 0})
		awaitRouters(ctx, f)
	})

	It("runs at most once when its router is paused and resumed", func() {
		b := &batch{name: "router-paused", workers: 6, ordersPerWorker: 10}
		b.start(ctx, f)
		b.awaitFinished(b.total() / 4)
		awaitRunning()
		router := f.Routers[1]
		router.Process().Pause()
		// Another router closes its session to the paused one.
		awaitSessionLost(ctx, f.Routers[0], router)
		router.Process().Resume()
		Expect(b.finish(ctx, f)).To(BeNumerically(">", 0))
		awaitRouters(ctx, f)
	})

	It("runs at most once when its sidecar is killed after the call began", func() {
		clients := openClients()
		configureServices(map[string]any{"cost_ms": 5000})
		o := newOrder("sidecar-after", 0)
		sent := make(chan harness.Response, 1)
		go func() { sent <- o.send(ctx, clients[0]) }()
		u := awaitRunning()
		u.Sidecar().Kill()
		_ = u.Sidecar().Wait(ctx)
		var a harness.Response
		Eventually(sent, specTimeout).Should(Receive(&a))
		Expect(a.Outcome).To(Equal(harness.OutcomeUnknown), o.String())
		configureServices(map[string]any{"cost_ms": 5})
		Expect(f.StartSidecar(ctx, u)).To(Succeed())
		for _, client := range clients {
			Expect(o.send(ctx, client).Outcome).To(Equal(harness.OutcomeUnknown), o.String())
		}
		runs := countRuns(ctx, f)[o.key]
		Expect(runs).To(Equal(1))
		o.check(runs)
	})

	It("does not run when its sidecar is killed before the call", func() {
		clients := openClients()
		o := newOrder("sidecar-before", orderCostMs)
		// The frozen links keep the dispatched request from reaching a sidecar.
		for _, u := range plainUpstreams(f) {
			f.Links.Peer(u.VM.ID).Freeze()
		}
		sent := make(chan harness.Response, 1)
		go func() { sent <- o.send(ctx, clients[0]) }()
		for _, u := range plainUpstreams(f) {
			u.Sidecar().Kill()
			_ = u.Sidecar().Wait(ctx)
		}
		Expect(f.Links.Heal()).To(Succeed())
		Expect(countRuns(ctx, f)[o.key]).To(BeZero())
		for _, u := range plainUpstreams(f) {
			Expect(f.StartSidecar(ctx, u)).To(Succeed())
		}
		Eventually(sent, specTimeout).Should(Receive())
		o.check(countRuns(ctx, f)[o.key])
	})

	It("runs at most once while sidecars are killed and links reset", func() {
		b := &batch{name: "sidecars", workers: 6, ordersPerWorker: 12}
		b.start(ctx, f)
		for n, u := range plainUpstreams(f) {
			b.awaitFinished((2*n + 1) * b.total() / 6)
			awaitRunning()
			u.Sidecar().Kill()
			_ = u.Sidecar().Wait(ctx)
			Expect(f.StartSidecar(ctx, u)).To(Succeed())
			b.awaitFinished((2*n + 2) * b.total() / 6)
			f.Links.Peer(u.VM.ID).Reset()
		}
		Expect(b.finish(ctx, f)).To(BeNumerically(">", 0))
	})

	It("runs once and has an unknown outcome when the service loses its response", func() {
		clients := openClients()
		lost := 0
		for n := range 6 {
			configureServices(map[string]any{"lose_answers": 1})
			o := newOrder(fmt.Sprint("service-lost-", n), orderCostMs)
			if o.send(ctx, clients[n%len(clients)]).Outcome == harness.OutcomeUnknown {
				lost++
			}
			Expect(o.send(ctx, clients[(n+1)%len(clients)]).Outcome).To(Equal(harness.OutcomeUnknown), o.String())
			runs := countRuns(ctx, f)[o.key]
			Expect(runs).To(Equal(1))
			o.check(runs)
		}
		Expect(lost).To(Equal(6))
		configureServices(map[string]any{"lose_answers": 0})
	})

	It("is recognised by its decoded path, regardless of the query", func() {
		client := openClients()[0]
		for _, path := range []string{"/orders", "/orders?cost_ms=5", "/%6frders", "//orders", "/x/../orders"} {
			a := client.CallService(ctx, http.MethodPost, string(harness.PlainService), path, "", []byte(`{}`))
			Expect(a.Status).To(Equal(http.StatusBadRequest), path)
			Expect(a.Outcome).To(Equal(harness.OutcomeNotRun), path)
		}
	})
})

// withOrdersRule replaces the non-idempotent rules of an inventory by one for POST
// requests with the path prefix /orders/.
func withOrdersRule(inv config.Inventory) config.Inventory {
	inv.Rules.NonIdempotent = []config.NonIdempotentRule{
		{Service: harness.PlainService, Methods: []string{http.MethodPost}, PathPrefix: "/orders/"},
	}
	return inv
}

// awaitRouters waits until every router has sessions to all other routers and to
// all sidecars.
func awaitRouters(ctx context.Context, f *harness.Fleet) {
	GinkgoHelper()
	for _, r := range f.Routers {
		Eventually(func(g Gomega) {
			status, err := statusOf(ctx, r)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Routers).To(HaveLen(len(f.Routers) - 1))
			g.Expect(status.Sidecars).To(HaveLen(len(f.Upstreams)))
		}, specTimeout).Should(Succeed())
	}
}

func statusOf(ctx context.Context, r *harness.Router) (operator.Status, error) {
	var status operator.Status
	data, err := operator.NewClient(r.AdminURL(), harness.AdminToken).Get(ctx, "/v1/status")
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(data, &status)
}

// awaitSessionLost waits until r has no session to the router lost.
func awaitSessionLost(ctx context.Context, r, lost *harness.Router) {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		status, err := statusOf(ctx, r)
		g.Expect(err).NotTo(HaveOccurred())
		for _, peer := range status.Routers {
			g.Expect(peer.ID).NotTo(Equal(lost.ID))
		}
	}, specTimeout).Should(Succeed())
}
