package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/gateway"
)

const (
	serverSiteHost = "h.example"
	deskService    = "desk"
	// openPath is on a route without home regions, homePath on one whose home region
	// is r1.
	openPath = "/open/1"
	homePath = "/home/1"
	// openKey is the key of a team without home regions, homeKey of one whose home
	// region is r1.
	openKey = "k-open"
	homeKey = "k-home"
)

// lastAttempt numbers the requests of all specs.
var lastAttempt atomic.Int64

// serverSite is a harness.GatewayFleet whose upstreams are processes as well.
type serverSite struct {
	*harness.GatewayFleet
	client *http.Client
}

// newServerSite starts the gateways and one server in each of the first failure domains,
// named s-1, s-2 and so on.
func newServerSite(options harness.GatewayFleetOptions, service standin.ServiceConfig, servers int) (*serverSite, []*harness.Server) {
	GinkgoHelper()
	ctx := context.Background()
	options.Dir = GinkgoT().TempDir()
	inner, err := harness.NewGatewayFleet(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(inner.Close)
	s := &serverSite{GatewayFleet: inner, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	DeferCleanup(s.client.CloseIdleConnections)
	var started []*harness.Server
	for i := range servers {
		started = append(started, s.startServer(fmt.Sprint("s-", i+1), harness.FailureDomain(i%max(options.FailureDomains, 1)), 0))
	}
	Expect(s.Put(ctx, standin.ConfigKind, standin.ConfigName, serverSiteConfiguration(service))).To(Succeed())
	Expect(s.StartAll(ctx)).To(Succeed())
	for _, g := range s.Gateways {
		Eventually(func() int { return len(s.state(g).Routers) }, specTimeout).Should(Equal(len(s.Gateways)-1), g.Name)
	}
	return s, started
}

func serverSiteConfiguration(service standin.ServiceConfig) standin.Configuration {
	route := func(name string, regions ...string) standin.Route {
		return standin.Route{
			Name: name, Host: serverSiteHost, PathPrefix: "/" + name + "/", Kind: standin.SafeRoute, Service: service.Name,
			TimeoutMs: 3000, TargetLatencyMs: 500, MaxAttempts: 3, AllowedRegions: regions,
		}
	}
	return standin.Configuration{
		Version: 1, Routes: []standin.Route{route("open"), route("home", "r1")},
		Services: []standin.ServiceConfig{service}, Limits: standin.Limits{MaxBodyBytes: 4096},
		Tenants: []standin.Tenant{
			{Name: "team-open", APIKeys: []string{openKey}},
			{Name: "team-home", APIKeys: []string{homeKey}, AllowedRegions: []string{"r1"}},
		},
	}
}

func (s *serverSite) startServer(id, failureDomain string, cold time.Duration) *harness.Server {
	GinkgoHelper()
	server, err := s.StartServer(context.Background(), harness.ServerOptions{
		ID: id, Service: deskService, FailureDomain: failureDomain, Slots: 64, ServiceTime: 5 * time.Millisecond, Cold: cold,
	})
	Expect(err).NotTo(HaveOccurred())
	return server
}

// send sends a request to a gateway and returns the status and body of the response. If
// the request fails, the status is 0 and the body is the error text.
func (s *serverSite) send(g *harness.Gateway, path, key string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+g.CallerAddress()+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = serverSiteHost
	req.Header.Set("Attempt-Id", fmt.Sprint("a", lastAttempt.Add(1)))
	req.Header.Set("Key", key)
	req.Header.Set(gatewayHeader, g.Name)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// startLoad sends requests without home regions to each gateway at an interval until the
// returned function is called, or until the spec ends.
func (s *serverSite) startLoad(interval time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for _, g := range s.Gateways {
		callers.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				callers.Go(func() { s.send(g, openPath, openKey) })
				<-ticker.C
			}
		})
	}
	stop = func() {
		cancel()
		callers.Wait()
	}
	DeferCleanup(stop)
	return stop
}

// state returns the state that a gateway reports, or the zero value while it can't be
// reached.
func (s *serverSite) state(g *harness.Gateway) gateway.State {
	var state gateway.State
	resp, err := s.client.Get("http://" + g.MetricsAddress() + gateway.StatePath)
	if err != nil {
		return state
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return gateway.State{}
	}
	return state
}

func received(server *harness.Server) uint64 {
	GinkgoHelper()
	n, err := server.Received(context.Background())
	Expect(err).NotTo(HaveOccurred())
	return n
}

// expectRefused checks that a response refuses a request with a code.
func expectRefused(status int, body, code string) {
	GinkgoHelper()
	Expect(status).To(Equal(http.StatusServiceUnavailable), body)
	Expect(strings.Contains(body, code)).To(BeTrue(), body)
}
