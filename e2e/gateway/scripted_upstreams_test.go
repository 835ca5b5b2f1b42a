package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Paths of the routes of a scriptedSite: requests that may run once, streams that may run
// once, and streams that may be resumed.
const (
	unsafePath    = "/unsafe/1"
	streamPath    = "/stream/1"
	resumablePath = "/resumable/1"
)

// scriptedSite is a serverSite with one gateway, whose upstreams write what specs
// tell them to.
type scriptedSite struct {
	*serverSite
	gateway *harness.Gateway
	// ids are the upstreams of the last call of replaceUpstreams.
	ids []fleet.UpstreamID

	mu sync.Mutex
	// runs are the runs of each request, by its Attempt-Id.
	runs map[string][]scriptedRun
	// instances are the upstreams that requests named in Expect-Instance.
	instances map[string]int
}

// scriptedSettings has a short window, so that retries are allowed soon after the start.
const scriptedSettings = `
retry: {ratio: 1, slack: 30, window: 200ms}
`

// scriptedRun is one run of a request.
type scriptedRun struct{ lastEventID string }

// serveConn serves the requests of a connection until it returns an error.
type serveConn func(c net.Conn, next func() (*http.Request, error)) error

// newScriptedSite starts a gateway without upstreams.
func newScriptedSite() *scriptedSite {
	GinkgoHelper()
	ctx := context.Background()
	inner, err := harness.NewGatewayFleet(ctx, harness.GatewayFleetOptions{Gateways: 1, Dir: GinkgoT().TempDir(), Settings: scriptedSettings})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(inner.Close)
	s := &scriptedSite{
		serverSite: &serverSite{GatewayFleet: inner, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}},
		gateway:    inner.Gateways[0], runs: map[string][]scriptedRun{}, instances: map[string]int{},
	}
	Expect(s.Put(ctx, standin.ConfigKind, standin.ConfigName, scriptedConfiguration())).To(Succeed())
	Expect(s.StartAll(ctx)).To(Succeed())
	return s
}

func scriptedConfiguration() standin.Configuration {
	route := func(path, kind string, resume bool) standin.Route {
		return standin.Route{
			Name: strings.Trim(path, "/1"), Host: serverSiteHost, PathPrefix: strings.TrimSuffix(path, "1"), Kind: kind, Service: deskService,
			TimeoutMs: 5000, TargetLatencyMs: 1000, TargetGapMs: 1000, MaxAttempts: 3, ResumeStreams: resume,
		}
	}
	return standin.Configuration{
		Version: 1,
		Routes: []standin.Route{
			route(unsafePath, standin.UnsafeRoute, false), route(streamPath, standin.StreamingRoute, false),
			route(resumablePath, standin.StreamingRoute, true),
		},
		Services: []standin.ServiceConfig{{Name: deskService, MaxConnections: 90}}, Limits: standin.Limits{MaxBodyBytes: 4096},
		Tenants: []standin.Tenant{{Name: "team", APIKeys: []string{openKey}}},
	}
}

// startUpstream serves connections until the spec ends, and returns the address.
func (s *scriptedSite) startUpstream(serve serveConn) string {
	GinkgoHelper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go func() {
				defer c.Close()
				_ = serve(c, s.requestsOf(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// requestsOf returns a function that reads the next whole request of a connection.
func (s *scriptedSite) requestsOf(c net.Conn) func() (*http.Request, error) {
	reader := bufio.NewReader(c)
	return func() (*http.Request, error) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.instances[r.Header.Get("Expect-Instance")]++
		s.mu.Unlock()
		_, err = io.Copy(io.Discard, r.Body)
		return r, err
	}
}

func scriptedRegistration(address string) standin.Registration {
	return standin.Registration{
		Service: deskService, Address: address, FailureDomain: "z1", Version: "v1", Slots: 8, State: standin.ServerReady,
		Sequence: 1, StartedUnixMs: time.Now().UnixMilli(),
	}
}

// awaitRetries waits until the gateway may retry requests.
func (s *scriptedSite) awaitRetries() {
	GinkgoHelper()
	Eventually(func() float64 { return s.state(s.gateway).Retries[deskService].Allowed }, specTimeout).Should(BeNumerically(">", 0), "retries")
}

// replaceUpstreams registers new upstreams in place of those of an earlier call, and waits until
// the gateway uses them: what it has learnt of earlier ones does not apply to them.
func (s *scriptedSite) replaceUpstreams(upstreams ...serveConn) {
	GinkgoHelper()
	before := s.ids
	s.ids = nil
	for _, serve := range upstreams {
		id := fmt.Sprint("u-", lastAttempt.Add(1))
		s.register(id, s.startUpstream(serve))
		s.ids = append(s.ids, fleet.UpstreamID(id))
	}
	for _, id := range before {
		Expect(s.Delete(context.Background(), standin.ServersKind, string(id))).To(Succeed())
	}
	for _, id := range s.ids {
		Eventually(s.registered(s.gateway, id), specTimeout).Should(BeTrue(), id)
	}
	for _, id := range before {
		Eventually(s.registered(s.gateway, id), specTimeout).Should(BeFalse(), id)
	}
}

func (s *scriptedSite) register(id, address string) {
	GinkgoHelper()
	Expect(s.Put(context.Background(), standin.ServersKind, id, scriptedRegistration(address))).To(Succeed())
}

// recordRun records that an upstream begins to run a request, and returns the number of its
// runs.
func (s *scriptedSite) recordRun(r *http.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Attempt-Id")
	s.runs[id] = append(s.runs[id], scriptedRun{lastEventID: r.Header.Get("Last-Event-Id")})
	return len(s.runs[id])
}

func (s *scriptedSite) runsOf(id string) []scriptedRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]scriptedRun(nil), s.runs[id]...)
}

// scriptedAnswer is what a caller got.
type scriptedAnswer struct {
	id     string
	status int
	body   string
	// broken is the error with which the response ended.
	broken error
}

// post sends a request to the gateway.
func (s *scriptedSite) post(path string) scriptedAnswer {
	GinkgoHelper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.gateway.CallerAddress()+path, strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	// Without GetBody, net/http does not retry the request by itself.
	req.GetBody = nil
	req.Host = serverSiteHost
	answer := scriptedAnswer{id: fmt.Sprint("a", lastAttempt.Add(1))}
	req.Header.Set("Attempt-Id", answer.id)
	req.Header.Set("Key", openKey)
	resp, err := s.client.Do(req)
	if err != nil {
		answer.broken = err
		return answer
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	answer.status, answer.body, answer.broken = resp.StatusCode, string(body), err
	return answer
}

// writeResponse writes the response of a run; the header fields state how its body ends.
func writeResponse(c net.Conn, r *http.Request, fields, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal\r\n%s\r\n\r\n%s", r.Header.Get("Attempt-Id"), fields, body)
	return err
}
