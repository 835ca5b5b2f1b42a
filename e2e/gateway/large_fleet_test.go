package gateway

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	largeFleetGateways = 21
	largeFleetDomains  = 3
)

// aggregators returns the gateways whose last log entry on the election names them
// as the aggregator of their failure domain's loads.
func aggregators(s *site) []*harness.Gateway {
	var out []*harness.Gateway
	for _, gateway := range s.Gateways {
		log := gateway.Log()
		last := log[max(strings.LastIndex(log, "aggregator elected"), 0):]
		if line, _, _ := strings.Cut(last, "\n"); strings.Contains(line, `"this_router":true`) {
			out = append(out, gateway)
		}
	}
	return out
}

// statuses returns a function that sends a request to each gateway and returns
// the status codes.
func statuses(s *site, gateways []*harness.Gateway) func() []int {
	return func() []int {
		var out []int
		for _, gateway := range gateways {
			status, _ := s.postOrder(gateway)
			out = append(out, status)
		}
		return out
	}
}

var _ = Describe("a large fleet", func() {
	var s *site

	BeforeEach(func() {
		s = newSiteWithOptions(harness.GatewayFleetOptions{Gateways: largeFleetGateways, FailureDomains: largeFleetDomains})
		Eventually(func() int { return len(aggregators(s)) }, specTimeout).Should(Equal(largeFleetDomains))
	})

	It("enforces a key revocation while an aggregator is paused", func() {
		paused := aggregators(s)[0]
		paused.Pause()
		var others []*harness.Gateway
		for _, gateway := range s.Gateways {
			if gateway != paused {
				others = append(others, gateway)
			}
		}
		s.configure(2, "k2")
		Eventually(statuses(s, others), specTimeout).Should(HaveEach(401))
		paused.Resume()
		Eventually(statuses(s, s.Gateways), specTimeout).Should(HaveEach(401))
	})

	It("serves again after all gateways were killed at the same time", func() {
		Expect(statuses(s, s.Gateways)()).To(HaveEach(200))
		for _, gateway := range s.Gateways {
			gateway.Kill()
		}
		for _, gateway := range s.Gateways {
			Eventually(gateway.Done(), specTimeout).Should(BeClosed())
		}
		Expect(s.StartAll(context.Background())).To(Succeed())
		Eventually(statuses(s, s.Gateways), specTimeout).Should(HaveEach(200))
	})
})
