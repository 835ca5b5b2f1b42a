package gateway_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/route"
)

func TestRevokedKeyAndRemovedRouteAreRefused(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	store := storeOf(definition(1), s)
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	status := func(path string) func() int {
		return func() int {
			resp, _, err := send(n, "POST", path, "", "Key", "k1")
			if err != nil {
				return 0
			}
			return resp.StatusCode
		}
	}
	g.Eventually(status("/keyed/"), eventuallyTimeout).Should(Equal(200))
	next := definition(2)
	next.Teams[0].Keys = []string{"k2"}
	next.Routes = next.Routes[1:]
	store.configure(next)
	g.Eventually(status("/keyed/"), eventuallyTimeout).Should(Equal(401))
	g.Expect(status("/safe/")()).To(Equal(404))
	// An older version is not adopted again.
	store.configure(definition(1))
	g.Consistently(status("/keyed/"), "200ms").Should(Equal(401))
}

func TestPolicyChangesWhileServing(t *testing.T) {
	g := NewWithT(t)
	failing := func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 500, "no") }
	servers := []*server{startServer(t, "i-1", "plain", failing), startServer(t, "i-2", "plain", failing)}
	store := storeOf(definition(1), servers...)
	var policy gateway.Policy
	n := startGateway(t, "g1", store, func(o *gateway.Options) { policy = o.Policy })
	awaitReady(t, n)
	received := func() int { return servers[0].count() + servers[1].count() }
	tries := func() int {
		before := received()
		_, _, err := send(n, "GET", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		return received() - before
	}
	g.Expect(tries()).To(Equal(2))
	policy.Retry.Ratio, policy.Retry.Slack = 0, 0
	n.SetPolicy(policy)
	g.Expect(tries()).To(Equal(1))
}

func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	first, second := startServer(t, "i-1", "plain", respondDone), startServer(t, "i-2", "plain", respondDone)
	store := storeOf(definition(1), first, second)
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	draining := first.Upstream
	draining.Draining = true
	store.register(draining, false)
	g.Eventually(func() int {
		before := first.count()
		for range 4 {
			_, _, err := send(n, "GET", "/safe/", "")
			g.Expect(err).NotTo(HaveOccurred())
		}
		return first.count() - before
	}, eventuallyTimeout).Should(BeZero())
}

func TestStopFinishesReceivedRequests(t *testing.T) {
	g := NewWithT(t)
	received, release := make(chan struct{}), make(chan struct{})
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) {
		close(received)
		<-release
		respond(c, r, 200, "done")
	})
	n := startGatewayWith(t, s)
	bodies := make(chan string, 1)
	closing := make(chan bool, 1)
	go func() {
		resp, body, err := send(n, "POST", "/unsafe/", "order")
		if err != nil {
			body = err.Error()
		} else {
			closing <- resp.Close
		}
		bodies <- body
	}()
	<-received
	n.stop()
	g.Eventually(n.Ready, eventuallyTimeout).Should(BeFalse())
	g.Consistently(n.done, "200ms").ShouldNot(BeClosed())
	close(release)
	g.Eventually(bodies, eventuallyTimeout).Should(Receive(Equal("done")))
	g.Expect(<-closing).To(BeTrue())
	g.Eventually(n.done, eventuallyTimeout).Should(BeClosed())
}

func TestStopServesNewConnectionsDuringWithdrawal(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	store := storeOf(definition(1), s)
	n := startGateway(t, "g1", store, func(o *gateway.Options) { o.Withdrawal = time.Second })
	awaitReady(t, n)
	n.stop()
	g.Eventually(n.Ready, eventuallyTimeout).Should(BeFalse())
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
}

// All routers are stopped in quick succession: while no other router serves, a router
// that is shutting down has to keep serving requests that finish in time.
func TestStoppingGatewayKeepsServingUntilAnotherOneDoes(t *testing.T) {
	g := NewWithT(t)
	respondWhenReleased, received, release := holdingUnsafe()
	s := startServer(t, "i-1", "plain", respondWhenReleased)
	configuration := definition(1)
	for i := range configuration.Routes {
		if configuration.Routes[i].Name == "keyed" {
			configuration.Routes[i].Timeout, configuration.Routes[i].Anonymous = time.Minute, true
		}
	}
	store := storeOf(configuration, s)
	long := func(o *gateway.Options) { o.Grace = 2 * eventuallyTimeout }
	n := startGateway(t, "g1", store, long)
	awaitReady(t, n)
	statuses := make(chan int, 1)
	go func() {
		resp, _, err := send(n, "POST", "/unsafe/", "order")
		if err != nil {
			statuses <- 0
			return
		}
		statuses <- resp.StatusCode
	}()
	<-received
	n.stop()
	refusal := func() int {
		resp, _, err := send(n, "POST", "/keyed/", "")
		if err != nil || resp.Header.Get("Retry-After") == "" {
			return 0
		}
		return resp.StatusCode
	}
	g.Eventually(refusal, eventuallyTimeout).Should(Equal(503), "the request may take longer than the grace period")
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	// Once another router serves, this one accepts no more callers.
	other := startGateway(t, "g2", store, func(o *gateway.Options) { o.Policy.Seeds = []string{n.peer} })
	awaitReady(t, other)
	g.Eventually(func() error {
		_, _, err := send(n, "GET", "/safe/", "")
		return err
	}, eventuallyTimeout).Should(HaveOccurred())
	close(release)
	g.Eventually(statuses, eventuallyTimeout).Should(Receive(Equal(200)))
	g.Eventually(n.done, eventuallyTimeout).Should(BeClosed())
}

func TestRouterWithoutStoreLearnsFromAnotherOne(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", respondDone)
	store := storeOf(definition(1), s)
	withStore := startGateway(t, "g1", store, nil)
	awaitReady(t, withStore)
	withoutStore := startGateway(t, "g2", unavailableStore{}, func(o *gateway.Options) { o.Policy.Seeds = []string{withStore.peer} })
	awaitReady(t, withoutStore)
	resp, _, err := send(withoutStore, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	// The draining upstream and the revoked key reach it as well.
	draining := s.Upstream
	draining.Draining = true
	store.register(draining, false)
	next := definition(2)
	next.Teams = []route.Team{{ID: "t1"}}
	store.configure(next)
	g.Eventually(func() int {
		resp, _, err := send(withoutStore, "GET", "/safe/", "")
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}, eventuallyTimeout).Should(Equal(503))
	// Registrations and configurations arrive through different watches, in either
	// order.
	g.Eventually(func() int {
		resp, _, err := send(withoutStore, "POST", "/keyed/", "", "Key", "k1")
		if err != nil {
			return 0
		}
		return resp.StatusCode
	}, eventuallyTimeout).Should(Equal(401))
}

func TestRoutersKeepOneSessionToEachOther(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	store.configure(definition(1))
	logs := make([]*observer.ObservedLogs, 3)
	var nodes []*node
	for i := range logs {
		core, seen := observer.New(zap.InfoLevel)
		logs[i] = seen
		nodes = append(nodes, startGateway(t, fmt.Sprint("g", i), store, func(o *gateway.Options) {
			o.Log = zap.New(core)
			for _, earlier := range nodes {
				o.Policy.Seeds = append(o.Policy.Seeds, earlier.peer)
			}
		}))
	}
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.State().Routers) }, eventuallyTimeout).Should(Equal(2))
	}
	closed := func() int {
		sum := 0
		for _, seen := range logs {
			sum += seen.FilterMessage("session closed").Len()
		}
		return sum
	}
	// Both sides may have dialed at the same time; they agree on one session, which
	// then stays open.
	settled := closed()
	g.Eventually(func() error {
		now := closed()
		if now != settled {
			settled = now
			return errors.New("sessions still close")
		}
		return nil
	}, 2*eventuallyTimeout, "1s").MustPassRepeatedly(4).Should(Succeed())
}
