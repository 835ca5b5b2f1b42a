package gateway

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	largeGateways = 21
	largeDomains  = 3
)

// aggregators returns the gateways that say last that they sum their failure domain's
// loads.
func aggregators(s *site) []*harness.Gateway {
	var out []*harness.Gateway
	for _, n := range s.Gateways {
		log := n.Log()
		last := log[max(strings.LastIndex(log, "aggregator elected"), 0):]
		if line, _, _ := strings.Cut(last, "\n"); strings.Contains(line, `"this_router":true`) {
			out = append(out, n)
		}
	}
	return out
}

func statusesOf(s *site, gateways []*harness.Gateway) func() []int {
	return func() []int {
		var out []int
		for _, n := range gateways {
			status, _ := s.order(n)
			out = append(out, status)
		}
		return out
	}
}

var _ = Describe("a large fleet", func() {
	var s *site

	BeforeEach(func() {
		s = newSiteOf(harness.SiteOptions{Gateways: largeGateways, Domains: largeDomains})
		Eventually(func() int { return len(aggregators(s)) }, specTimeout).Should(Equal(largeDomains))
	})

	It("hears of a revoked key while an aggregator is paused", func() {
		paused := aggregators(s)[0]
		paused.Stop()
		var others []*harness.Gateway
		for _, n := range s.Gateways {
			if n != paused {
				others = append(others, n)
			}
		}
		s.configure(2, "k2")
		Eventually(statusesOf(s, others), specTimeout).Should(HaveEach(401))
		paused.Cont()
		Eventually(statusesOf(s, s.Gateways), specTimeout).Should(HaveEach(401))
	})

	It("serves again after all gateways were killed at once", func() {
		Expect(statusesOf(s, s.Gateways)()).To(HaveEach(200))
		for _, n := range s.Gateways {
			n.Kill()
		}
		for _, n := range s.Gateways {
			Eventually(n.Done(), specTimeout).Should(BeClosed())
		}
		Expect(s.StartAll(context.Background())).To(Succeed())
		Eventually(statusesOf(s, s.Gateways), specTimeout).Should(HaveEach(200))
	})
})
