package gateway_test

import (
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/route"
)

// farVersion is a version and a revision that the store of the tests does not reach.
const farVersion = 1 << 40

func snapshot(t *testing.T, d route.Definition) *peerpb.Envelope {
	t.Helper()
	encoded, err := json.Marshal(d)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return &peerpb.Envelope{Body: &peerpb.Envelope_RoutingSnapshot{RoutingSnapshot: &peerpb.RoutingSnapshot{Definition: encoded}}}
}

// TestConfigurationOfTheStoreReplacesAFalseOne guards against a corrupted router whose
// configuration with a version far in the future, or with other content, keeps the operator's
// later ones from being adopted.
func TestConfigurationOfTheStoreReplacesAFalseOne(t *testing.T) {
	for name, version := range map[string]int64{"version of the future": farVersion, "other content of the next version": 2} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := storeOf(definition(1), startServer(t, "i-1", "plain", respondDone))
			n := startGateway(t, "g1", store, nil)
			awaitReady(t, n)
			configured := func() int64 { return n.State().Configuration }
			faulty := connectFaulty(t, n, nil)
			false1 := definition(version)
			false1.Routes = nil
			faulty.Send(snapshot(t, false1))
			g.Eventually(configured, eventuallyTimeout).Should(BeEquivalentTo(version))
			store.configure(definition(2))
			status := func() int {
				resp, _, err := send(n, "GET", "/safe/", "")
				if err != nil {
					return 0
				}
				return resp.StatusCode
			}
			g.Eventually(status, eventuallyTimeout).Should(Equal(200))
			g.Expect(configured()).To(BeEquivalentTo(2))
			faulty.Send(snapshot(t, false1))
			g.Consistently(configured, "300ms").Should(BeNumerically("<", 3), "not adopted again, if refuted")
			store.configure(definition(3))
			g.Eventually(configured, eventuallyTimeout).Should(BeEquivalentTo(3))
		})
	}
}

// TestEvacuationsOfTheStoreReplaceFalseOnes guards against a corrupted router whose set with a
// revision far in the future keeps all evacuations of the operator from taking effect.
func TestEvacuationsOfTheStoreReplaceFalseOnes(t *testing.T) {
	g := NewWithT(t)
	store := storeOf(definition(1), startServerIn(t, "i-1", "d1"), startServerIn(t, "i-2", "d2"))
	n := startGateway(t, "g1", store, func(o *gateway.Options) { follow(o) })
	awaitReady(t, n)
	faulty := connectFaulty(t, n, nil)
	claim := &peerpb.Envelope{Body: &peerpb.Envelope_LoadReport{LoadReport: &peerpb.LoadReport{
		Evacuations: &peerpb.Evacuations{Revision: farVersion, FailureDomains: []string{"d1"}},
	}}}
	faulty.Send(claim)
	g.Eventually(evacuatedAt(n), eventuallyTimeout).Should(ConsistOf(fleet.FailureDomainID("d1")))
	store.evacuate("d2", false)
	g.Eventually(evacuatedAt(n), eventuallyTimeout).Should(ConsistOf(fleet.FailureDomainID("d2")))
	faulty.Send(claim)
	g.Consistently(evacuatedAt(n), "300ms").Should(ConsistOf(fleet.FailureDomainID("d2")), "refuted")
	store.evacuate("d2", true)
	g.Eventually(evacuatedAt(n), eventuallyTimeout).Should(BeEmpty())
}
