package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/route"
)

// withHomes returns the test configuration with home regions for all routes and for team t1.
func withHomes(version int64, ofRoutes, ofTeam []fleet.RegionID) route.Definition {
	d := definition(version)
	for i := range d.Routes {
		d.Routes[i].Regions = ofRoutes
	}
	d.Teams[0].Regions = ofTeam
	return d
}

func regionList(names ...fleet.RegionID) []fleet.RegionID { return names }

// startServerIn starts an upstream in a failure domain.
func startHomeServer(t *testing.T, domain fleet.FailureDomainID, service string, handle func(*server, net.Conn, *http.Request)) *server {
	s := startServer(t, "i-"+string(domain), service, handle)
	s.Domain = domain
	return s
}

// startHomeGateway starts a gateway for which d1 is in region r1, d2 in r2, and the region
// of any other failure domain is not known.
func startHomeGateway(t *testing.T, store *memoryStore, log *zap.Logger) *node {
	n := startGateway(t, "g1", store, func(o *gateway.Options) {
		o.Policy.Admission.Regions = map[fleet.FailureDomainID]fleet.RegionID{"d1": "r1", "d2": "r2"}
		o.Log = log
	})
	awaitReady(t, n)
	return n
}

func resetConnection(_ *server, c net.Conn, _ *http.Request) { c.Close() }

// Guards against retries that leave the home region after a failure in it.
func TestFailedRequestIsNotRetriedOutsideItsHomeRegion(t *testing.T) {
	g := NewWithT(t)
	inside := startHomeServer(t, "d1", "plain", resetConnection)
	outside, unknown := startHomeServer(t, "d2", "plain", respondDone), startHomeServer(t, "d9", "plain", respondDone)
	n := startHomeGateway(t, storeOf(withHomes(1, regionList("r1"), nil), inside, outside, unknown), zap.NewNop())
	for range 5 {
		resp, _, err := send(n, "GET", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(502))
	}
	g.Expect(inside.count()).To(Equal(5))
	g.Expect(outside.count() + unknown.count()).To(BeZero())
}

// Guards against resuming a broken stream outside the home region.
func TestBrokenStreamIsNotResumedOutsideItsHomeRegion(t *testing.T) {
	g := NewWithT(t)
	inside := startHomeServer(t, "d1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		chunk(c, events(1, 3))
		c.Close()
	})
	outside := startHomeServer(t, "d2", "engines", respondDone)
	n := startHomeGateway(t, storeOf(withHomes(1, regionList("r1"), nil), inside, outside), zap.NewNop())
	_, body, err := send(n, "POST", "/resumable/", "")
	g.Expect(err).To(HaveOccurred())
	g.Expect(body).To(Equal(events(1, 3)))
	g.Expect(outside.count()).To(BeZero())
}

// Guards against home regions of an outdated configuration: each attempt follows the one
// in force, and a deleted route or team leaves those of the request's own version.
func TestAttemptFollowsTheConfigurationInForce(t *testing.T) {
	deleted := func(change func(*route.Definition)) route.Definition {
		d := withHomes(2, nil, nil)
		change(&d)
		return d
	}
	inR1 := withHomes(1, regionList("r1"), nil)
	teamInR1 := withHomes(1, nil, regionList("r1"))
	for name, c := range map[string]struct {
		own, next route.Definition
		// retries is the expected number of attempts in region r2.
		retries int
	}{
		"route moved":           {inR1, withHomes(2, regionList("r2"), nil), 1},
		"team moved":            {teamInR1, withHomes(2, nil, regionList("r2")), 1},
		"restriction lifted":    {inR1, withHomes(2, nil, nil), 1},
		"route and team differ": {inR1, withHomes(2, regionList("r2"), regionList("r1")), 0},
		"restriction added":     {inR1, withHomes(2, regionList("r1"), regionList("r1", "r2")), 0},
		"route deleted":         {inR1, deleted(func(d *route.Definition) { d.Routes = nil }), 0},
		"team deleted":          {teamInR1, deleted(func(d *route.Definition) { d.Teams = nil }), 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := newMemoryStore()
			var n *node
			first := startHomeServer(t, "d1", "plain", func(_ *server, conn net.Conn, r *http.Request) {
				store.configure(c.next)
				g.Eventually(func() int64 { return n.State().Configuration }, eventuallyTimeout).Should(BeEquivalentTo(2))
				respond(conn, r, 500, "broken")
			})
			second := startHomeServer(t, "d2", "plain", respondDone)
			store.configure(c.own)
			store.register(first.Upstream, false)
			store.register(second.Upstream, false)
			n = startHomeGateway(t, store, zap.NewNop())
			g.Eventually(func() int { return len(n.State().Upstreams) }, eventuallyTimeout).Should(Equal(2))
			resp, _, err := send(n, "GET", "/safe/", "", "Key", "k1")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode == 200).To(Equal(c.retries > 0))
			g.Expect(first.count()).To(Equal(1))
			g.Expect(second.count()).To(Equal(c.retries))
		})
	}
}

// Guards against a refusal that does not tell the caller and the operators the reason.
func TestRefusalForHomeRegionIsExplained(t *testing.T) {
	g := NewWithT(t)
	inside, outside := startHomeServer(t, "d1", "plain", respondDone), startHomeServer(t, "d9", "plain", respondDone)
	core, logs := observer.New(zap.InfoLevel)
	store := storeOf(withHomes(1, regionList("r1", "r7"), regionList("r7", "r8")), inside, outside)
	n := startHomeGateway(t, store, zap.New(core))
	resp, body, err := send(n, "GET", "/safe/", "", "Key", "k1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(503))
	g.Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(body).To(And(ContainSubstring(`"code":"no_home_region"`), ContainSubstring("home regions"), ContainSubstring("retry later")))
	g.Expect(inside.count() + outside.count()).To(BeZero())

	refused := logs.FilterMessage("request refused").All()
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].ContextMap()).To(And(HaveKeyWithValue("code", "no_home_region"), HaveKeyWithValue("home_regions", "r7"), HaveKeyWithValue("home_configuration", BeEquivalentTo(1))))
	var unknown []string
	for _, entry := range logs.FilterMessage("home region unknown").All() {
		unknown = append(unknown, fmt.Sprint(entry.ContextMap()["region"], " ", entry.ContextMap()["named_by"]))
	}
	g.Expect(unknown).To(Equal([]string{"r7 route safe", "r8 team t1"}))
	g.Expect(n.State().HomeRegions.Teams).To(HaveKeyWithValue(fleet.TeamID("t1"), regionList("r7", "r8")))
	g.Expect(n.State().HomeRegions.Routes).To(HaveLen(5))
}

// Guards against fields about home regions in the lines of requests without any.
func TestRequestsWithoutHomeRegionsAreLoggedAsBefore(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	n := startHomeGateway(t, storeOf(definition(1), startHomeServer(t, "d9", "plain", respondDone)), zap.New(core))
	resp, _, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(200))
	sent := logs.FilterMessage("request sent").All()
	g.Expect(sent).To(HaveLen(1))
	g.Expect(sent[0].ContextMap()).NotTo(HaveKey("home_regions"))
	g.Expect(n.State().HomeRegions).To(BeNil())
}
