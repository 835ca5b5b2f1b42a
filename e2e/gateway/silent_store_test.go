package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	// applyWithin is the time in which a change that the store has acknowledged must be in
	// force.
	applyWithin = 2500 * time.Millisecond
	// stableWindow is how long after its connections went silent a gateway is not bound by
	// applyWithin.
	stableWindow = 3 * time.Second
	// silenceCheck is how long a server must receive nothing.
	silenceCheck = 2 * time.Second
	// inFlightTime is the time in which a request that was sent reaches its server.
	inFlightTime = 100 * time.Millisecond
	movedService = "moved"
)

// silence is a series of silences of the gateways' connections to the store, and the time of
// a change relative to the first.
type silence struct {
	// at are the times of the silences, in order.
	at []time.Duration
	// changeAt is when the change is made.
	changeAt time.Duration
	// phaseAt is when another change makes the watches of all gateways begin together; zero
	// for none.
	phaseAt time.Duration
	// gateways is how many gateways are affected; zero for all.
	gateways int
	// storeDelay is the delay of the store's answers in each direction.
	storeDelay time.Duration
}

var silences = []TableEntry{
	Entry("before the change", silence{changeAt: 200 * time.Millisecond}),
	Entry("before the change, when all watches have just begun", silence{phaseAt: -600 * time.Millisecond, changeAt: 200 * time.Millisecond}),
	Entry("in the pause after another change", silence{phaseAt: -100 * time.Millisecond, changeAt: 450 * time.Millisecond}),
	Entry("at the change", silence{changeAt: time.Millisecond}),
	Entry("a second one while the first is not noticed", silence{at: []time.Duration{0, 1500 * time.Millisecond}, changeAt: 200 * time.Millisecond}),
	Entry("a second one soon after the first is noticed", silence{at: []time.Duration{0, 2400 * time.Millisecond}, changeAt: 2200 * time.Millisecond}),
	Entry("at one gateway only", silence{gateways: 1, changeAt: 200 * time.Millisecond}),
	Entry("with a store that answers late", silence{storeDelay: 60 * time.Millisecond, changeAt: 200 * time.Millisecond}),
}

// play silences the connections, makes the change and returns the time from which on no
// request may be handled as before it.
func (s *serverSite) play(sil silence, phase, change func()) time.Time {
	GinkgoHelper()
	affected := s.Gateways
	if sil.gateways > 0 {
		affected = s.Gateways[:sil.gateways]
	}
	for _, g := range s.Gateways {
		g.PlatformLink.Delay(sil.storeDelay)
	}
	times := sil.at
	if len(times) == 0 {
		times = []time.Duration{0}
	}
	var steps []timedStep
	var lastSilence, acknowledged time.Time
	for _, at := range times {
		steps = append(steps, timedStep{at, func() {
			for _, g := range affected {
				Expect(g.PlatformLink.Silence()).NotTo(BeZero(), g.Name)
			}
			lastSilence = time.Now()
		}})
	}
	steps = append(steps, timedStep{sil.changeAt, func() {
		change()
		acknowledged = time.Now()
	}})
	if sil.phaseAt != 0 {
		steps = append(steps, timedStep{sil.phaseAt, phase})
	}
	runSteps(steps)
	bound := acknowledged.Add(applyWithin)
	if inTouch := lastSilence.Add(stableWindow); inTouch.After(bound) {
		return inTouch
	}
	return bound
}

// expectIdleFrom checks that a server receives nothing that is sent from a time on.
func (s *serverSite) expectIdleFrom(server *harness.Server, from time.Time) {
	GinkgoHelper()
	time.Sleep(time.Until(from.Add(inFlightTime)))
	before := received(server)
	Consistently(func() uint64 { return received(server) }, silenceCheck).Should(Equal(before))
}

// newSilentSite starts gateways behind fault proxies, and servers.
func newSilentSite() (*serverSite, []*harness.Server) {
	return newServerSite(harness.GatewayFleetOptions{Gateways: 3, FailureDomains: 3, Proxied: true},
		standin.ServiceConfig{Name: deskService, MaxConnections: 90}, 3)
}

// Guards against requests to an upstream that the store has removed, because a gateway's
// connections to the store went silent (DRAIN).
var _ = DescribeTable("connections to the store go silent and an upstream is removed", func(sil silence) {
	s, servers := newSilentSite()
	ctx := context.Background()
	s.startLoad(loadInterval)
	s.expectUsed(servers[0])
	from := s.play(sil, func() {
		s.startServer("s-4", "z2", 0)
	}, func() {
		Expect(s.Delete(ctx, standin.ServersKind, "s-1")).To(Succeed())
	})
	s.expectIdleFrom(servers[0], from)
	s.expectUsed(servers[1])
}, silences)

// Guards against requests that are handled by an earlier configuration, because a gateway's
// connections to the store went silent (CONFIG).
var _ = DescribeTable("connections to the store go silent and a route is moved", func(sil silence) {
	s, servers := newSilentSite()
	ctx := context.Background()
	moved, err := s.StartServer(ctx, harness.ServerOptions{ID: "m-1", Service: movedService, FailureDomain: "z1", Slots: 64, ServiceTime: 5 * time.Millisecond})
	Expect(err).NotTo(HaveOccurred())
	configure := func(version int, service string) {
		c := serverSiteConfiguration(standin.ServiceConfig{Name: deskService, MaxConnections: 90})
		c.Version = version
		c.Services = append(c.Services, standin.ServiceConfig{Name: movedService, MaxConnections: 90})
		for i := range c.Routes {
			c.Routes[i].Service = service
		}
		Expect(s.Put(ctx, standin.ConfigKind, standin.ConfigName, c)).To(Succeed())
	}
	s.startLoad(loadInterval)
	s.expectUsed(servers[0])
	from := s.play(sil, func() { configure(2, deskService) }, func() { configure(3, movedService) })
	for _, server := range servers {
		s.expectIdleFrom(server, from)
	}
	s.expectUsed(moved)
}, silences)
