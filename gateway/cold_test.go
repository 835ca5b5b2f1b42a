package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

// Guards against requests to a cold upstream from gateways that are not its senders or have
// just started, also where a gateway knows of the upstream from another gateway only.
func TestColdUpstreamIsKnownAndSpared(t *testing.T) {
	g := NewWithT(t)
	warm, cold := startServer(t, "i-1", "plain", respondDone), startServer(t, "i-2", "plain", respondDone)
	d := definition(1)
	d.Services[0].ColdStart, d.Services[0].ColdRate = time.Minute, 10
	cold.ColdRemaining = time.Minute
	store := storeOf(d, warm, cold)
	store.routers["g9"] = registry.Router{PeerAddress: "127.0.0.1:1", Domain: "d1"} // It does not run.
	core, logs := observer.New(zap.InfoLevel)
	withStore := startGateway(t, "g1", store, func(o *gateway.Options) {
		o.Log = zap.New(core)
		o.Policy.Admission.ColdOverage, o.Policy.Admission.ColdSlack = 1.5, 5
	})
	withoutStore := startGateway(t, "g2", unavailableStore{}, func(o *gateway.Options) { o.Policy.Seeds = []string{withStore.peer} })
	awaitReady(t, withStore, withoutStore)
	state := func(n *node) func() *admission.ColdView {
		return func() *admission.ColdView { return n.State().Services["plain"].Upstreams["i-2"].Cold }
	}
	g.Eventually(state(withStore), eventuallyTimeout).Should(HaveField("Sender", true))
	g.Eventually(state(withoutStore), eventuallyTimeout).ShouldNot(BeNil())
	seen := state(withoutStore)()
	g.Expect(seen.Cause).To(Equal(warmup.Registered))
	g.Expect(seen.Sender).To(BeFalse(), "it does not know the registered gateways")
	g.Expect(seen.RemainingMs).To(BeNumerically("~", 50_000, 10_000))
	for _, n := range []*node{withStore, withoutStore} {
		for range 20 {
			resp, _, err := send(n, "GET", "/safe/", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(200))
		}
	}
	g.Expect(warm.count()).To(Equal(40))
	g.Expect(cold.count()).To(BeZero(), "g9 may not know g1 yet")
	g.Expect(logs.FilterMessage("upstream cold").FilterFieldKey("cause").Len()).To(Equal(1))
}
