package gateway

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

var _ = Describe("requests with home regions", func() {
	var (
		s               *serverSite
		inside, outside *harness.Server
	)

	BeforeEach(func() {
		var servers []*harness.Server
		s, servers = newServerSite(harness.GatewayFleetOptions{Gateways: 2, FailureDomains: 2, Regions: 2},
			standin.ServiceConfig{Name: deskService, MaxConnections: 90}, 2)
		inside, outside = servers[0], servers[1]
		// Both servers are in use before requests with home regions are sent.
		Eventually(func() uint64 {
			for _, g := range s.Gateways {
				s.send(g, openPath, openKey)
			}
			return min(received(inside), received(outside))
		}, specTimeout).Should(BeNumerically(">", 0))
	})

	// sendHome sends a request whose route has a home region, and one whose team has one,
	// through each gateway, and returns the statuses.
	sendHome := func() []int {
		var statuses []int
		for _, g := range s.Gateways {
			byRoute, _ := s.send(g, homePath, openKey)
			byTeam, _ := s.send(g, openPath, homeKey)
			statuses = append(statuses, byRoute, byTeam)
		}
		return statuses
	}

	// Guards against a gateway that sends them to its own region or to a less loaded one.
	It("are served in their home region, also through a gateway elsewhere", func() {
		before := received(outside)
		for range 50 {
			Expect(sendHome()).To(HaveEach(200))
		}
		Expect(received(outside)).To(Equal(before))
	})

	// Guards against retries that leave the home region when its only server is killed.
	It("never reach a server elsewhere when the only one at home is killed", func() {
		before := received(outside)
		var callers sync.WaitGroup
		for range 8 {
			callers.Go(func() {
				for range 100 {
					sendHome()
				}
			})
		}
		time.AfterFunc(50*time.Millisecond, inside.Kill)
		callers.Wait()
		Eventually(inside.Done(), specTimeout).Should(BeClosed())
		for range 20 {
			Expect(sendHome()).To(HaveEach(BeElementOf(502, 503)))
		}
		Expect(s.Delete(context.Background(), standin.ServersKind, "s-1")).To(Succeed())
		for _, g := range s.Gateways {
			Eventually(func() string {
				_, body := s.send(g, homePath, openKey)
				return body
			}, specTimeout).Should(ContainSubstring("no_home_region"))
			status, body := s.send(g, openPath, homeKey)
			expectRefused(status, body, "no_home_region")
		}
		Expect(received(outside)).To(Equal(before))
		for _, g := range s.Gateways {
			status, body := s.send(g, openPath, openKey)
			Expect(status).To(Equal(200), body)
		}
		Expect(received(outside)).To(Equal(before + uint64(len(s.Gateways))))
	})
})
