package path

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const specTimeout = 60 * time.Second

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request path")
}

var _ = Describe("a request", Ordered, func() {
	var (
		ctx    context.Context
		f      *harness.Fleet
		client *harness.Client
	)

	BeforeAll(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 1, Engines: 1, Services: 1, Slots: 2, Teams: 2}
		var err error
		f, err = harness.NewFleet(ctx, shape.Inventory(), harness.Options{
			EngineArgs:  []string{"--token-interval-ms", "1"},
			EditRouter:  func(s *config.RouterSettings) { s.Traces.Stdout = true },
			EditSidecar: func(s *config.SidecarSettings) { s.Traces.Stdout = true },
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		DeferCleanup(func() {
			if CurrentSpecReport().Failed() {
				GinkgoWriter.Println(f.LogTails())
			}
		})
		Expect(f.Start(ctx)).To(Succeed())
		client = f.Client(f.Routers[0], f.Inventory.Teams[0].ID)
		DeferCleanup(client.Close)
	})

	It("has a complete streamed response", func() {
		req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "frost", MaxTokens: 20, Stream: true}
		answer := client.Complete(ctx, req, nil)
		Expect(harness.VerifyCompletion(req, answer)).To(Succeed())
	})

	It("has a complete response", func() {
		req := standin.CompletionRequest{Model: string(harness.ModelService), Prompt: "frost", MaxTokens: 20}
		answer := client.Complete(ctx, req, nil)
		Expect(harness.VerifyCompletion(req, answer)).To(Succeed())
		Expect(answer.Outcome).To(Equal(harness.OutcomeComplete))
	})

	It("books once for a repeated key", func() {
		first := client.CallService(ctx, "POST", string(harness.PlainService), "/orders", "order-1", []byte(`{"cost_ms":5}`))
		Expect(first.Err).NotTo(HaveOccurred())
		Expect(first.Status).To(Equal(200), string(first.Body))
		Expect(first.Outcome).To(Equal(harness.OutcomeComplete))
		second := client.CallService(ctx, "POST", string(harness.PlainService), "/orders", "order-1", []byte(`{"cost_ms":5}`))
		Expect(second.Body).To(Equal(first.Body))
	})

	It("records a span for each hop", func() {
		router := f.Routers[0].Process()
		for _, span := range []string{"router.receive", "router.queue", "router.dispatch"} {
			Eventually(router.Log, specTimeout).Should(ContainSubstring(span))
		}
		for _, span := range []string{"sidecar.admit", "upstream.call"} {
			Eventually(f.Upstreams[0].Sidecar().Log, specTimeout).Should(ContainSubstring(span))
		}
	})
})
