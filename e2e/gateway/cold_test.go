package gateway

import (
	"context"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
)

const (
	coldTime = 3 * time.Second
	// coldRate is the requests per second that a cold server tolerates.
	coldRate    = 6.9
	coldOverage = 1.5
	coldSlack   = 5
	// coldBound is the number of requests that all gateways together may send to a cold
	// server within any second.
	coldBound    = coldRate*coldOverage + coldSlack
	coldSettings = `
admission: {cold_overage: 1.5, cold_slack: 5}
`
)

var _ = Describe("a cold server", func() {
	var s *serverSite

	BeforeEach(func() {
		s, _ = newServerSite(harness.GatewayFleetOptions{Gateways: 3, Settings: coldSettings},
			standin.ServiceConfig{Name: deskService, MaxConnections: 90, ColdStartS: coldTime.Seconds(), ColdPerS: coldRate}, 1)
		s.startLoad(loadInterval)
	})

	// Guards against gateways that each keep the bound on their own but not together, and
	// against gateways that leave a cold server unused.
	It("gets no more than the bound from three gateways together", func() {
		server := s.startServer("s-cold", "z1", coldTime)
		s.expectWithinColdBound(server)
	})

	// Guards against gateways that take a server that returns under the same name for the
	// one that was warm.
	It("gets no more than the bound when it returns under the same name", func() {
		ctx := context.Background()
		server := s.startServer("s-cold", "z1", 0)
		s.expectUsed(server)
		server.Kill()
		Eventually(server.Done(), specTimeout).Should(BeClosed())
		// The registration lapses.
		Expect(s.Delete(ctx, standin.ServersKind, "s-cold")).To(Succeed())
		for _, g := range s.Gateways {
			Eventually(s.registered(g, "s-cold"), specTimeout).Should(BeFalse(), g.Name)
		}
		Expect(s.RestartServer(ctx, server, coldTime)).To(Succeed())
		s.expectWithinColdBound(server)
	})
})

// registered returns a function that reports whether a gateway knows a registration.
func (s *serverSite) registered(g *harness.Gateway, id fleet.UpstreamID) func() bool {
	return func() bool {
		return slices.ContainsFunc(s.state(g).Upstreams, func(u gateway.UpstreamEntry) bool { return u.ID == id && !u.Removed })
	}
}

// expectWithinColdBound waits until a server is warm and in use, and checks the requests
// that it received while it was cold.
func (s *serverSite) expectWithinColdBound(server *harness.Server) {
	GinkgoHelper()
	Eventually(func() uint64 {
		counters, err := server.Control.ServiceCounters(context.Background())
		Expect(err).NotTo(HaveOccurred())
		return counters.Received - counters.ColdReceived
	}, specTimeout).Should(BeNumerically(">", 2*coldBound))
	counters, err := server.Control.ServiceCounters(context.Background())
	Expect(err).NotTo(HaveOccurred())
	Expect(counters.ColdPeak).To(BeNumerically("<=", coldBound))
	Expect(counters.ColdReceived).To(BeNumerically(">", 0), "used while cold")
}
