package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// evacuateWithin is the time in which evacuations must be in force.
	evacuateWithin = 5 * time.Second
	// evacuationCheck is how long an evacuated server must receive nothing.
	evacuationCheck = 2 * time.Second
	loadInterval    = 10 * time.Millisecond
)

var _ = Describe("an evacuation", func() {
	var (
		s         *serverSite
		evacuated *harness.Server
	)

	BeforeEach(func() {
		var servers []*harness.Server
		s, servers = newServerSite(harness.GatewayFleetOptions{
			Gateways: 3, FailureDomains: 3, EvacuateWithin: evacuateWithin, Proxied: true,
		}, standin.ServiceConfig{Name: deskService, MaxConnections: 90}, 3)
		evacuated = servers[0]
		s.startLoad(loadInterval)
		s.expectUsed(evacuated)
	})

	// Guards against gateways that learn of it only from the store.
	It("is in force within its bound, also at gateways whose path to the store is cut or silent", func() {
		s.Gateways[1].PlatformLink.Cut()
		s.Gateways[2].PlatformLink.Freeze()
		Expect(s.Evacuate(context.Background(), "z1")).To(Succeed())
		s.expectInForce(evacuated, time.Now().Add(evacuateWithin))
		Expect(s.Heal()).To(Succeed())
		Expect(s.EndEvacuation(context.Background(), "z1")).To(Succeed())
		for _, g := range s.Gateways {
			Eventually(s.evacuations(g), specTimeout).Should(BeEmpty(), g.Name)
		}
		s.expectUsed(evacuated)
	})

	// Guards against an evacuation that a gateway forgets in an outage of the store, or
	// does not know when it starts in one.
	It("stays in force through an outage of the store in which a gateway restarts", func() {
		ctx := context.Background()
		Expect(s.Evacuate(ctx, "z1")).To(Succeed())
		s.expectInForce(evacuated, time.Now().Add(evacuateWithin))
		before := received(evacuated)
		Expect(s.Platform.Set(ctx, map[string]any{"outage": true})).To(Succeed())
		restarted := s.Gateways[2]
		restarted.Kill()
		Eventually(restarted.Done(), specTimeout).Should(BeClosed())
		Expect(s.Start(restarted)).To(Succeed())
		Expect(s.AwaitReady(ctx, restarted)).To(Succeed())
		Eventually(func() int {
			status, _ := s.send(restarted, openPath, openKey)
			return status
		}, specTimeout).Should(Equal(200))
		Expect(s.evacuations(restarted)()).To(HaveKey(fleet.FailureDomainID("z1")))
		Consistently(func() uint64 { return received(evacuated) }, evacuateWithin).Should(Equal(before))
		Expect(s.Platform.Set(ctx, map[string]any{"outage": false})).To(Succeed())
		Expect(s.EndEvacuation(ctx, "z1")).To(Succeed())
		s.expectUsed(evacuated)
	})
})

// evacuations returns a function that returns the failure domains that a gateway knows as
// evacuated, nil while that is unknown.
func (s *serverSite) evacuations(g *harness.Gateway) func() map[fleet.FailureDomainID]int64 {
	return func() map[fleet.FailureDomainID]int64 {
		if state := s.state(g).Evacuations; state != nil && state.Known {
			return state.Domains
		}
		return nil
	}
}

// expectUsed waits until a server receives requests.
func (s *serverSite) expectUsed(server *harness.Server) {
	GinkgoHelper()
	before := received(server)
	Eventually(func() uint64 { return received(server) }, specTimeout).Should(BeNumerically(">", before))
}

// expectInForce checks that the evacuation of z1 is known at every gateway by the deadline
// and that the server there receives nothing from then on.
func (s *serverSite) expectInForce(server *harness.Server, deadline time.Time) {
	GinkgoHelper()
	for _, g := range s.Gateways {
		Eventually(s.evacuations(g), time.Until(deadline)).Should(HaveKey(fleet.FailureDomainID("z1")), g.Name)
	}
	time.Sleep(time.Until(deadline))
	before := received(server)
	Consistently(func() uint64 { return received(server) }, evacuationCheck).Should(Equal(before))
}
