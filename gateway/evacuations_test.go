package gateway_test

import (
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
)

// Guards against new work in an evacuated domain, against ending the work in progress
// there, and against a domain that stays unused after its evacuation.
func TestEvacuatedDomainGetsNoNewWork(t *testing.T) {
	g := NewWithT(t)
	respondWhenReleased, received, release := holdingUnsafe()
	evacuated := startServer(t, "i-1", "plain", respondWhenReleased)
	evacuated.Domain = "d2"
	store := storeOf(definition(1), evacuated)
	core, logs := observer.New(zap.InfoLevel)
	n := startGateway(t, "g1", store, func(o *gateway.Options) {
		follow(o)
		o.Log = zap.New(core)
	})
	awaitReady(t, n)
	bodies := make(chan string, 1)
	go func() {
		_, body, err := send(n, "POST", "/unsafe/", "order")
		bodies <- fmt.Sprint(body, err)
	}()
	<-received
	store.evacuate("d2", false)
	g.Eventually(evacuatedAt(n), evacuateWithin).Should(ConsistOf(fleet.FailureDomainID("d2")))
	resp, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(body).To(ContainSubstring("no_upstream"))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())

	other := startServerIn(t, "i-2", "d1")
	store.register(other.Upstream, false)
	expectUsed(g, n, other)
	expectNothingAt(g, n, evacuated)
	close(release)
	g.Expect(<-bodies).To(Equal("done<nil>"), "work in progress ends normally")
	g.Expect(expvar.Get("gateway_evacuated_domains").String()).To(Equal("1"))
	g.Expect(logs.FilterMessage("evacuation began").FilterFieldKey("revision").FilterField(zap.String("source", "store")).Len()).To(Equal(1))
	g.Expect(logs.FilterMessage("request sent").FilterFieldKey("evacuations").Len()).To(BeNumerically(">", 0))

	store.evacuate("d2", true)
	g.Eventually(evacuatedAt(n), eventuallyTimeout).Should(BeEmpty())
	expectUsed(g, n, evacuated)
	g.Expect(logs.FilterMessage("evacuation ended").FilterField(zap.String("domain", "d2")).Len()).To(Equal(1))
}

// Guards against dropping or missing evacuations in an outage: the set is kept, passed to
// a gateway that restarts meanwhile, and brought up to date after the outage, also when the
// store no longer has the changes in between.
func TestEvacuationsOutliveOutageRestartAndCompaction(t *testing.T) {
	g := NewWithT(t)
	first, second, third := startServerIn(t, "i-1", "d2"), startServerIn(t, "i-2", "d3"), startServerIn(t, "i-3", "d1")
	store := storeOf(definition(1), first, second, third)
	store.evacuate("d2", false)
	faulty := &faultyEvacuations{Store: store}
	n := startGateway(t, "g1", faulty, follow)
	awaitReady(t, n)
	expectNothingAt(g, n, first)

	faulty.unavailable.Store(true)
	store.evacuate("d2", true)
	store.evacuate("d3", false)
	g.Consistently(evacuatedAt(n), "300ms").Should(ConsistOf(fleet.FailureDomainID("d2")))
	restarted := startGateway(t, "g2", unavailableStore{}, func(o *gateway.Options) {
		follow(o)
		o.Policy.Seeds = []string{n.peer}
	})
	awaitReady(t, restarted)
	expectNothingAt(g, restarted, first)
	expectNothingAt(g, n, first)

	faulty.unavailable.Store(false)
	for _, each := range []*node{n, restarted} {
		g.Eventually(evacuatedAt(each), evacuateWithin).Should(ConsistOf(fleet.FailureDomainID("d3")))
		expectNothingAt(g, each, second)
		expectUsed(g, each, first)
	}

	lists := faulty.lists.Load()
	faulty.gone.Store(true)
	store.evacuate("d2", false)
	store.evacuate("d3", true)
	g.Eventually(evacuatedAt(restarted), evacuateWithin).Should(ConsistOf(fleet.FailureDomainID("d2")))
	g.Expect(faulty.lists.Load()).To(Equal(lists + 1))
	expectNothingAt(g, restarted, first)
}

// Guards against a gateway that the store turns away: it has to learn from another one of
// evacuations that begin, overlap and end, and must not fall back to an older set.
func TestEvacuationsReachGatewayThatTheStoreTurnsAway(t *testing.T) {
	g := NewWithT(t)
	first, second := startServerIn(t, "i-1", "d2"), startServerIn(t, "i-2", "d1")
	store := storeOf(definition(1), first, second)
	informed := startGateway(t, "g1", store, follow)
	awaitReady(t, informed)
	core, logs := observer.New(zap.InfoLevel)
	turnedAway := &faultyEvacuations{Store: store}
	turnedAway.unavailable.Store(true)
	n := startGateway(t, "g2", turnedAway, func(o *gateway.Options) {
		follow(o)
		o.Policy.Seeds, o.Log = []string{informed.peer}, zap.New(core)
	})
	awaitReady(t, n)
	store.evacuate("d2", false)
	g.Eventually(evacuatedAt(n), evacuateWithin).Should(ConsistOf(fleet.FailureDomainID("d2")))
	expectNothingAt(g, n, first)
	store.evacuate("unknown", false)
	g.Eventually(evacuatedAt(n), evacuateWithin).Should(HaveLen(2))
	store.evacuate("d1", false)
	store.evacuate("d2", true)
	g.Eventually(evacuatedAt(n), evacuateWithin).Should(ConsistOf(fleet.FailureDomainID("d1"), fleet.FailureDomainID("unknown")))
	expectNothingAt(g, n, second)
	g.Expect(logs.FilterMessage("evacuation began").FilterField(zap.String("source", "g1")).Len()).To(Equal(3))
	g.Expect(logs.FilterMessage("evacuation of an unknown failure domain").Len()).To(Equal(1))
	g.Expect(n.State().Evacuations.Revision).To(BeNumerically(">=", 6))
}

// Guards against requests that a gateway sends after its start before it knows what is
// evacuated, and against one that never serves because it cannot find out.
func TestStartingGatewayWaitsForEvacuationsButNotForLong(t *testing.T) {
	g := NewWithT(t)
	store := storeOf(definition(1), startServerIn(t, "i-1", "d1"))
	store.evacuate("d1", false)
	const within = 500 * time.Millisecond
	turnedAway := &faultyEvacuations{Store: store}
	turnedAway.unavailable.Store(true)
	started := time.Now()
	n := startGateway(t, "g1", turnedAway, func(o *gateway.Options) { o.EvacuateWithin = within })
	g.Eventually(func() int64 { return n.State().Configuration }, eventuallyTimeout).Should(BeEquivalentTo(1))
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	if time.Since(started) < within {
		g.Expect(resp.StatusCode).To(Equal(503))
	}
	awaitReady(t, n)
	g.Expect(time.Since(started)).To(BeNumerically(">=", within))
	g.Eventually(func() int {
		resp, _, err := send(n, "GET", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		return resp.StatusCode
	}, eventuallyTimeout).Should(Equal(200))
}

// preparing is a dialect that calls a function before each request to an upstream, which
// is after the decision on the request.
type preparing struct {
	plainDialect
	prepare func()
}

func (d preparing) RequestHeader(in exchange.Inbound, out exchange.Outbound) http.Header {
	d.prepare()
	return d.plainDialect.RequestHeader(in, out)
}

// Guards against sending a request that was decided on before the evacuation and delayed.
func TestDelayedRequestIsNotSentToDomainEvacuatedMeanwhile(t *testing.T) {
	g := NewWithT(t)
	s := startServerIn(t, "i-1", "d1")
	store := storeOf(definition(1), s)
	var n *node
	var once sync.Once
	evacuate := func() {
		once.Do(func() {
			store.evacuate("d1", false)
			g.Eventually(evacuatedAt(n), evacuateWithin).ShouldNot(BeEmpty())
		})
	}
	n = startGateway(t, "g1", store, func(o *gateway.Options) {
		follow(o)
		o.Dialect = preparing{prepare: evacuate}
	})
	awaitReady(t, n)
	resp, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(body).To(ContainSubstring("no_upstream"))
	g.Expect(s.count()).To(BeZero())
}

// Guards against evacuations that are in force too late in a large fleet, where only the
// aggregators watch the store, also when these lose just the watch of evacuations.
func TestEvacuationsReachLargeFleetInTime(t *testing.T) {
	g := NewWithT(t)
	const count = 15
	store := storeOf(definition(1), startServerIn(t, "i-1", "d1"), startServerIn(t, "i-2", "d2"))
	store.watchTimeout = 100 * time.Millisecond
	counted, faulty := make([]*countingStore, count), make([]*faultyEvacuations, count)
	nodes := startFleet(t, count, func(i int) gateway.Store {
		faulty[i] = &faultyEvacuations{Store: store}
		counted[i] = &countingStore{Store: faulty[i]}
		return counted[i]
	}, func(o *gateway.Options) {
		follow(o)
		o.MaxPeerStoreAge = time.Second
	})
	watching := watchingStores(counted)
	var aggregators []int
	g.Eventually(func() []int {
		aggregators = watching()
		return aggregators
	}, eventuallyTimeout).Should(HaveLen(3))
	evacuated := func() [][]fleet.FailureDomainID {
		var out [][]fleet.FailureDomainID
		for _, n := range nodes {
			out = append(out, evacuatedAt(n)())
		}
		return out
	}
	store.evacuate("d1", false)
	began := time.Now()
	g.Eventually(evacuated, evacuateWithin).Should(HaveEach(ConsistOf(fleet.FailureDomainID("d1"))))
	t.Logf("in force at all gateways after %s", time.Since(began))
	for _, i := range aggregators {
		faulty[i].unavailable.Store(true)
	}
	store.evacuate("d2", false)
	store.evacuate("d1", true)
	began = time.Now()
	g.Eventually(evacuated, evacuateWithin).Should(HaveEach(ConsistOf(fleet.FailureDomainID("d2"))))
	t.Logf("in force at all gateways after %s without the watch at the aggregators", time.Since(began))
}
