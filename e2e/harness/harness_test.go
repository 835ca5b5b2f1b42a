package harness

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const specTimeout = 20 * time.Second

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "harness")
}

func specContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
	DeferCleanup(cancel)
	return ctx
}

var _ = Describe("the harness", func() {
	var (
		ctx context.Context
		f   *Fleet
	)

	BeforeEach(func() {
		before := goleak.IgnoreCurrent()
		DeferCleanup(func() { Expect(goleak.Find(before)).To(Succeed()) })
		ctx = specContext()
		topology := Topology{Regions: 2, Routers: 1, Engines: 1, Services: 1, Slots: 2, Teams: 3}
		var err error
		f, err = NewFleet(ctx, topology.Inventory(), Options{Proxied: true, EngineArgs: []string{"--token-interval-ms", "1"}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		Expect(f.StartPlatform(ctx)).To(Succeed())
		for _, upstream := range f.Upstreams {
			Expect(f.StartUpstream(ctx, upstream)).To(Succeed())
		}
	})

	It("runs the stand-ins and verifies an engine's responses", func() {
		client := NewClient(f.Upstreams[0].URL(), "")
		DeferCleanup(client.Close)
		for _, stream := range []bool{true, false} {
			req := standin.CompletionRequest{Model: "m", Prompt: "survey", MaxTokens: 10, Stream: stream}
			response := client.Complete(ctx, req, nil)
			Expect(VerifyCompletion(req, response)).To(Succeed())
			req.Prompt = "another"
			Expect(errors.Is(VerifyCompletion(req, response), ErrWrongContent)).To(BeTrue())
		}
		Expect(f.Upstreams[0].Control.EngineCounters(ctx)).To(HaveField("Completed", BeEquivalentTo(2)))
	})

	It("reports an interrupted response", func() {
		engine := f.Upstreams[0]
		Expect(engine.Control.Set(ctx, map[string]int{"die_after_tokens": 2})).To(Succeed())
		client := NewClient(engine.URL(), "")
		DeferCleanup(client.Close)
		req := standin.CompletionRequest{Model: "m", Prompt: "survey", MaxTokens: 10, Stream: true}
		Expect(errors.Is(VerifyCompletion(req, client.Complete(ctx, req, nil)), ErrInterrupted)).To(BeTrue())
	})

	It("pauses, resumes and terminates a process and reports its crash", func() {
		engine := f.Upstreams[0]
		client := NewClient(engine.URL(), "")
		DeferCleanup(client.Close)
		engine.StandIn().Pause()
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancel()
		Expect(client.Do(shortCtx, "GET", "/health", nil, nil).Err).To(HaveOccurred())
		engine.StandIn().Resume()
		Expect(AwaitHTTP(ctx, engine.URL()+"/health", engine.StandIn())).To(Succeed())
		client.Complete(ctx, standin.CompletionRequest{Model: "m", Prompt: standin.CrashMarker}, nil)
		Expect(engine.StandIn().Wait(ctx)).To(MatchError("exit status 1"))
		Expect(f.StartUpstream(ctx, engine)).To(Succeed())
		engine.StandIn().Terminate()
		Expect(engine.StandIn().Wait(ctx)).To(Succeed())
	})

	It("assigns an address to each VM and a fault proxy to each process", func() {
		seen := map[string]bool{}
		for _, vm := range f.Inventory.VMs {
			Expect(net.ParseIP(vm.Address).IsLoopback()).To(BeTrue())
			Expect(seen[vm.Address]).To(BeFalse())
			seen[vm.Address] = true
			Expect(f.Links.Peer(vm.ID)).NotTo(BeNil())
		}
		Expect(f.Links.Platform(f.Routers[0].ID)).NotTo(BeNil())
		Expect(f.Links.CutRegion("region-1")).To(Succeed())
		Expect(f.Links.Heal()).To(Succeed())
	})

	It("rejects a fault if a connection does not originate from a VM's address", func() {
		link := f.Links.Peer(f.Upstreams[0].VM.ID)
		listener, err := net.Listen("tcp", f.Upstreams[0].VM.Address+peerPort)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		conn, err := net.Dial("tcp", link.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		Eventually(link.Connections).Should(Equal(1))
		Expect(errors.Is(f.Links.CutRegion("region-1"), ErrUnknown)).To(BeTrue())
	})

	It("writes settings and an inventory that survive a YAML round trip", func() {
		var inv config.Inventory
		data, err := yaml.Marshal(f.Inventory)
		Expect(err).NotTo(HaveOccurred())
		Expect(yaml.UnmarshalWithOptions(data, &inv, yaml.Strict())).To(Succeed())
		Expect(inv).To(Equal(f.Inventory))
		settings := sidecarSettings(f.Upstreams[0], Options{})
		var read config.SidecarSettings
		data, err = yaml.Marshal(settings)
		Expect(err).NotTo(HaveOccurred())
		Expect(yaml.UnmarshalWithOptions(data, &read, yaml.Strict())).To(Succeed())
		Expect(read).To(Equal(settings))
	})
})
