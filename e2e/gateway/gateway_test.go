// Package gateway tests the gateway as a real process, against the stand-in of the
// platform's store.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
)

const (
	specTimeout = 30 * time.Second
	storePort   = 7100
	controlPort = 7101
	callerPort  = 7102
	readyPort   = 7103
	peerPort    = 7104
	metricsPort = 7105
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// site is a store and some gateways before one upstream.
type site struct {
	network *harness.Network
	runner  *harness.Runner
	dir     string
	store   string
	control harness.Control
	// held makes the upstream wait with its answers.
	held  atomic.Bool
	runs  atomic.Int64
	nodes []*gatewayProcess
}

type gatewayProcess struct {
	*harness.Process
	address  string
	settings string
}

func newSite(gateways int) *site {
	GinkgoHelper()
	s := &site{dir: GinkgoT().TempDir()}
	var err error
	s.network, err = harness.NewNetwork(context.Background())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.network.Close)
	s.runner, err = harness.NewRunner(s.dir)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.runner.Close)
	host, err := s.network.Next()
	Expect(err).NotTo(HaveOccurred())
	s.store = fmt.Sprintf("%s:%d", host, storePort)
	control := fmt.Sprintf("%s:%d", host, controlPort)
	_, err = s.runner.Start("platform", "standin", "platform", "--listen", s.store, "--control", control)
	Expect(err).NotTo(HaveOccurred())
	s.control = harness.NewControl(control)
	Eventually(func() error { return s.control.Set(context.Background(), map[string]any{}) }, specTimeout).Should(Succeed())
	// The store listens on an address of its own, at another moment.
	Eventually(func() error {
		resp, err := http.Get("http://" + s.store + "/fulmarspindle/objects/config")
		if err == nil {
			resp.Body.Close()
		}
		return err
	}, specTimeout).Should(Succeed())
	upstream := httptest.NewServer(http.HandlerFunc(s.serveUpstream))
	DeferCleanup(upstream.Close)
	s.put("servers", "i-1", map[string]any{
		"service": "desk", "address": strings.TrimPrefix(upstream.URL, "http://"), "zone": "z1", "version": "v1",
		"slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
	})
	s.configure(1, "k1")
	var peers []string
	for range gateways {
		address, err := s.network.Next()
		Expect(err).NotTo(HaveOccurred())
		peers = append(peers, address)
	}
	for i, address := range peers {
		s.nodes = append(s.nodes, s.start(fmt.Sprint("gateway-", i+1), address, peers))
	}
	for _, n := range s.nodes {
		s.awaitReady(n)
	}
	return s
}

func (s *site) start(name, address string, peers []string) *gatewayProcess {
	GinkgoHelper()
	n := &gatewayProcess{address: address, settings: filepath.Join(s.dir, name+".yaml")}
	var seeds []string
	for _, peer := range peers {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", peer, peerPort)))
	}
	text := fmt.Sprintf(`id: %s
region: r1
failure_domain: z1
regions: {z1: r1}
listen: {caller: "%s:%d", ready: "%s:%d", peer: "%s:%d", metrics: "%s:%d"}
peers: [%s]
platform: {url: "http://%s", retry: 50ms}
stop: {grace: 5s, withdrawal: 200ms}
`, name, address, callerPort, address, readyPort, address, peerPort, address, metricsPort, strings.Join(seeds, ","), s.store)
	Expect(os.WriteFile(n.settings, []byte(text), 0o600)).To(Succeed())
	s.restart(name, n)
	return n
}

func (s *site) restart(name string, n *gatewayProcess) {
	GinkgoHelper()
	var err error
	n.Process, err = s.runner.Start(name, "fulmarspindle", "gateway", "--settings", n.settings)
	Expect(err).NotTo(HaveOccurred())
}

func (s *site) awaitReady(n *gatewayProcess) {
	GinkgoHelper()
	url := fmt.Sprintf("http://%s:%d/fulmarspindle/ready", n.address, readyPort)
	Eventually(func() int {
		resp, err := http.Get(url)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}, specTimeout).Should(Equal(200), n.Log)
}

// serveUpstream answers with the signature of a server.
func (s *site) serveUpstream(w http.ResponseWriter, r *http.Request) {
	s.runs.Add(1)
	for s.held.Load() && r.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Seal", "seal")
	_, _ = io.WriteString(w, r.Header.Get("Tenant"))
}

// put writes an object of the store, whether it exists or not.
func (s *site) put(kind, name string, spec any) {
	GinkgoHelper()
	body, err := json.Marshal(map[string]any{"metadata": map[string]any{"name": name}, "spec": spec})
	Expect(err).NotTo(HaveOccurred())
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		url := fmt.Sprintf("http://%s/fulmarspindle/objects/%s/%s", s.store, kind, name)
		req, err := http.NewRequest(method, url, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	Fail("object not written")
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

// order sends a request and returns its status and body; the status is 0 if the
// connection failed.
func (s *site) order(n *gatewayProcess) (int, string) {
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/orders/1", n.address, callerPort), strings.NewReader("x"))
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
	It("serves from the platform's store", func() {
		s := newSite(1)
		status, body := s.order(s.nodes[0])
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("team-1"))
		out, err := s.runner.Run(context.Background(), "fulmarspindle", "state", "--metrics", fmt.Sprintf("%s:%d", s.nodes[0].address, metricsPort))
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"configuration":1`))
	})

	It("finishes what it read after SIGTERM and ends", func() {
		s := newSite(1)
		s.held.Store(true)
		done := make(chan int, 1)
		go func() {
			status, _ := s.order(s.nodes[0])
			done <- status
		}()
		Eventually(s.runs.Load, specTimeout).Should(BeEquivalentTo(1))
		s.nodes[0].Term()
		Consistently(s.nodes[0].Running, "500ms").Should(BeTrue())
		s.held.Store(false)
		Eventually(done, specTimeout).Should(Receive(Equal(200)))
		Eventually(s.nodes[0].Done(), specTimeout).Should(BeClosed())
		ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
		defer cancel()
		Expect(s.nodes[0].Wait(ctx)).To(Succeed())
	})

	It("reloads at SIGHUP and serves on, with a bad file too", func() {
		s := newSite(1)
		n := s.nodes[0]
		good, err := os.ReadFile(n.settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(n.PID(), syscall.SIGHUP)).To(Succeed())
		Eventually(n.Log, specTimeout).Should(ContainSubstring("settings reloaded"))
		Expect(os.WriteFile(n.settings, []byte("id: ["), 0o600)).To(Succeed())
		Expect(syscall.Kill(n.PID(), syscall.SIGHUP)).To(Succeed())
		Eventually(n.Log, specTimeout).Should(ContainSubstring("settings not reloaded"))
		status, _ := s.order(n)
		Expect(status).To(Equal(200))
		// A change without a signal is found too.
		Expect(os.WriteFile(n.settings, append(good, "report_interval: 75ms\n"...), 0o600)).To(Succeed())
		Eventually(n.Log, specTimeout).Should(ContainSubstring(`"cause":"change"`))
		status, _ = s.order(n)
		Expect(status).To(Equal(200))
	})

	It("restarts empty in an outage of the store and learns from another one", func() {
		s := newSite(2)
		Expect(s.control.Set(context.Background(), map[string]any{"outage": true})).To(Succeed())
		s.nodes[1].Kill()
		Eventually(s.nodes[1].Done(), specTimeout).Should(BeClosed())
		s.restart("gateway-2", s.nodes[1])
		s.awaitReady(s.nodes[1])
		status, body := s.order(s.nodes[1])
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("team-1"))
	})

	It("revokes a key at every gateway", func() {
		s := newSite(2)
		s.configure(2, "k2")
		for _, n := range s.nodes {
			Eventually(func() int {
				status, _ := s.order(n)
				return status
			}, specTimeout).Should(Equal(401))
		}
	})

	It("refuses bad settings with a clear error", func() {
		s := newSite(1)
		Expect(os.WriteFile(s.nodes[0].settings, []byte("id: x\nlisten: {caller: here}\n"), 0o600)).To(Succeed())
		out, err := s.runner.Run(context.Background(), "fulmarspindle", "settings", "check", s.nodes[0].settings)
		Expect(err).To(HaveOccurred())
		Expect(out).To(ContainSubstring("listen.caller"))
	})
})
