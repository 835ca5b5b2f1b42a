package answers

import (
	"context"
	"log"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// With a single engine there is no other one to retry on.
var _ = Describe("an answer of a single upstream", Ordered, func() {
	var (
		ctx context.Context
		f   *harness.Fleet
		u   *harness.Upstream
	)

	BeforeAll(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), specTimeout)
		DeferCleanup(cancel)
		shape := harness.Topology{Regions: 1, Routers: 1, Engines: 1, Slots: 2, Teams: 1}
		var err error
		f, err = harness.NewFleet(ctx, shape.Inventory(), harness.Options{EngineArgs: []string{"--token-interval-ms", "0"}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { f.Close() })
		Expect(f.Start(ctx)).To(Succeed())
		awaitUpstreams(ctx, f, 1)
		u = f.Upstreams[0]
	})

	It("is resumed by the same upstream once it runs again", func() {
		client := f.Client(f.Routers[0], f.Inventory.Teams[0].ID)
		DeferCleanup(client.Close)
		Expect(u.Control.Set(ctx, map[string]any{"die_after_tokens": 10})).To(Succeed())
		req := newRequest("the only one", 0)
		req.MaxTokens = 30
		call, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		Expect(harness.VerifyCompletion(req, client.Complete(call, req, nil))).To(Succeed())
	})

	It("is whole when an attempt broke off in the middle of a body", func() {
		// Replaces the stand-in by a server of the test, which aborts its first
		// response halfway.
		u.StandIn().Kill()
		_ = u.StandIn().Wait(ctx)
		req := newRequest("half and whole", 1)
		body := standin.ResponseBody(req, false)
		var calls atomic.Int64
		serveEngine(ctx, u, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Resume-Offset") != "" {
				http.Error(w, "not a stream", http.StatusBadRequest)
				return
			}
			if calls.Add(1) > 1 {
				_, _ = w.Write(body)
				return
			}
			_, _ = w.Write(body[:len(body)/2])
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		awaitUpstreams(ctx, f, 1)
		client := f.Client(f.Routers[0], f.Inventory.Teams[0].ID)
		DeferCleanup(client.Close)
		call, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		Expect(harness.VerifyCompletion(req, client.Complete(call, req, nil))).To(Succeed())
		Expect(calls.Load()).To(Equal(int64(2)))
	})
})

// serveEngine serves completions and the health check on the address of an
// upstream.
func serveEngine(ctx context.Context, u *harness.Upstream, complete http.HandlerFunc) {
	GinkgoHelper()
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", strings.TrimPrefix(u.URL(), "http://"))
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /v1/completions", complete)
	server := &http.Server{Handler: mux, ErrorLog: log.New(GinkgoWriter, "", 0)}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Close)
}
