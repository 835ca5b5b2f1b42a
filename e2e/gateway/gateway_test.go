// Package gateway tests gateway processes against a stand-in for the platform's
// object store.
package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const specTimeout = 30 * time.Second

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// site is a harness.GatewayFleet whose gateways route to one upstream in the test process.
type site struct {
	*harness.GatewayFleet
	// blocked makes the upstream delay its responses.
	blocked atomic.Bool
	// received counts the requests that reached the upstream.
	received atomic.Int64
}

func newSite(gateways int) *site {
	return newSiteWithOptions(harness.GatewayFleetOptions{Gateways: gateways})
}

func newSiteWithOptions(options harness.GatewayFleetOptions) *site {
	GinkgoHelper()
	ctx := context.Background()
	options.Dir = GinkgoT().TempDir()
	inner, err := harness.NewGatewayFleet(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(inner.Close)
	s := &site{GatewayFleet: inner}
	upstream := httptest.NewServer(http.HandlerFunc(s.serveUpstream))
	DeferCleanup(upstream.Close)
	s.put("servers", "i-1", map[string]any{
		"service": "desk", "address": strings.TrimPrefix(upstream.URL, "http://"), "zone": "z1", "version": "v1",
		"slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	s.configure(1, "k1")
	Expect(s.StartAll(ctx)).To(Succeed())
	return s
}

func (s *site) put(kind, name string, spec any) {
	GinkgoHelper()
	Expect(s.Put(context.Background(), kind, name, spec)).To(Succeed())
}

// serveUpstream responds with the headers that mark a response of an upstream,
// and with the tenant of the request.
func (s *site) serveUpstream(w http.ResponseWriter, r *http.Request) {
	s.received.Add(1)
	for s.blocked.Load() && r.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal")
	_, _ = io.WriteString(w, r.Header.Get("Tenant"))
}

func (s *site) configure(version int, keys ...string) {
	GinkgoHelper()
	s.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r1", "host": "h.example", "pathPrefix": "/orders/", "kind": "unsafe", "service": "desk",
			"timeoutMs": 5000, "targetLatencyMs": 1000, "maxAttempts": 1,
		}},
		"services": []any{map[string]any{"name": "desk", "maxConnections": 90}},
		"limits":   map[string]any{"maxBodyBytes": 4096},
		"tenants":  []any{map[string]any{"name": "team-1", "apiKeys": keys}},
	})
}

// postOrder sends a request to a gateway and returns the status and body of the
// response. If the request fails, the status is 0 and the body is the error text.
func (s *site) postOrder(gateway *harness.Gateway) (int, string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+gateway.CallerAddress()+"/orders/1", strings.NewReader("x"))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h.example"
	req.Header.Set("Attempt-Id", "id-1")
	req.Header.Set("Key", "k1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
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

var _ = Describe("a gateway", func() {
	It("serves requests with the configuration and servers of the platform", func() {
		s := newSite(1)
		status, body := s.postOrder(s.Gateways[0])
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("team-1"))
		out, err := s.Runner.Run(context.Background(), "fulmarspindle", "state", "--metrics", s.Gateways[0].MetricsAddress())
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"configuration":1`))
	})

	It("completes the requests it has read after SIGTERM and exits", func() {
		s := newSite(1)
		s.blocked.Store(true)
		done := make(chan int, 1)
		go func() {
			status, _ := s.postOrder(s.Gateways[0])
			done <- status
		}()
		Eventually(s.received.Load, specTimeout).Should(BeEquivalentTo(1))
		s.Gateways[0].Terminate()
		Consistently(s.Gateways[0].Running, "500ms").Should(BeTrue())
		s.blocked.Store(false)
		Eventually(done, specTimeout).Should(Receive(Equal(200)))
		Eventually(s.Gateways[0].Done(), specTimeout).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
		defer cancel()
		Expect(s.Gateways[0].Wait(ctx)).To(Succeed())
	})

	// Guards against a request that is cut without an answer at the end of the grace period
	// (LOST), also where further signals come during the stop.
	It("answers what an upstream does not before it exits, with SIGHUP and a second SIGTERM in between", func() {
		s := newSite(1)
		s.blocked.Store(true)
		DeferCleanup(func() { s.blocked.Store(false) })
		gateway := s.Gateways[0]
		statuses := make(chan int, 2)
		post := func() {
			status, _ := s.postOrder(gateway)
			statuses <- status
		}
		go post()
		Eventually(s.received.Load, specTimeout).Should(BeEquivalentTo(1))
		gateway.Terminate()
		Expect(syscall.Kill(gateway.PID(), syscall.SIGHUP)).To(Succeed())
		gateway.Terminate()
		// A request that arrives before the first signal is handled is rightly taken.
		states := &serverSite{GatewayFleet: s.GatewayFleet, client: http.DefaultClient}
		Eventually(func() bool { return states.state(gateway).Draining }, specTimeout).Should(BeTrue())
		go post()
		Eventually(statuses, specTimeout).Should(Receive(Equal(503)), "nothing is known of how long such requests take")
		Eventually(statuses, specTimeout).Should(Receive(Equal(502)), "the request may have run")
		Expect(s.received.Load()).To(BeEquivalentTo(1))
		Eventually(gateway.Done(), specTimeout).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
		defer cancel()
		Expect(gateway.Wait(ctx)).To(Succeed())
	})

	It("reloads its settings at SIGHUP and keeps serving, also with an invalid file", func() {
		s := newSite(1)
		gateway := s.Gateways[0]
		settings, err := os.ReadFile(gateway.SettingsPath)
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(gateway.PID(), syscall.SIGHUP)).To(Succeed())
		Eventually(gateway.Log, specTimeout).Should(ContainSubstring("settings reloaded"))
		Expect(os.WriteFile(gateway.SettingsPath, []byte("id: ["), 0o600)).To(Succeed())
		Expect(syscall.Kill(gateway.PID(), syscall.SIGHUP)).To(Succeed())
		Eventually(gateway.Log, specTimeout).Should(ContainSubstring("settings not reloaded"))
		status, _ := s.postOrder(gateway)
		Expect(status).To(Equal(200))
		// A changed file is also detected without a signal.
		Expect(os.WriteFile(gateway.SettingsPath, append(settings, "report_interval: 75ms\n"...), 0o600)).To(Succeed())
		Eventually(gateway.Log, specTimeout).Should(ContainSubstring(`"cause":"change"`))
		status, _ = s.postOrder(gateway)
		Expect(status).To(Equal(200))
	})

	It("gets the configuration from a peer when it restarts without state during a platform outage", func() {
		s := newSite(2)
		Expect(s.Platform.Set(context.Background(), map[string]any{"outage": true})).To(Succeed())
		s.Gateways[1].Kill()
		Eventually(s.Gateways[1].Done(), specTimeout).Should(BeClosed())
		Expect(s.Start(s.Gateways[1])).To(Succeed())
		Expect(s.AwaitReady(context.Background(), s.Gateways[1])).To(Succeed())
		status, body := s.postOrder(s.Gateways[1])
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("team-1"))
	})

	It("revokes a key at every gateway", func() {
		s := newSite(2)
		s.configure(2, "k2")
		for _, gateway := range s.Gateways {
			Eventually(func() int {
				status, _ := s.postOrder(gateway)
				return status
			}, specTimeout).Should(Equal(401))
		}
	})

	It("rejects invalid settings with an error that names the key", func() {
		s := newSite(1)
		Expect(os.WriteFile(s.Gateways[0].SettingsPath, []byte("id: x\nlisten: {caller: here}\n"), 0o600)).To(Succeed())
		out, err := s.Runner.Run(context.Background(), "fulmarspindle", "settings", "check", s.Gateways[0].SettingsPath)
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("listen.caller"))
	})
})
