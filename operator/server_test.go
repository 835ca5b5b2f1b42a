package operator_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/operator"
)

const token = "operator-token"

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

// fakePublisher is a Publisher that holds one inventory and fails with err if it is set.
type fakePublisher struct {
	generation uint64
	inventory  config.Inventory
	err        error
	applied    []config.Proposal
}

func (p *fakePublisher) Apply(_ context.Context, proposal config.Proposal) (config.Head, error) {
	if p.err != nil {
		return config.Head{}, p.err
	}
	p.applied = append(p.applied, proposal)
	p.generation++
	return config.Head{Generation: p.generation, ChangeID: proposal.ChangeID}, nil
}

func (p *fakePublisher) DryRun(context.Context, config.Proposal) ([]config.Change, error) {
	return []config.Change{{Section: "teams", ID: "a", Kind: config.Added}}, p.err
}

func (p *fakePublisher) Current(context.Context) (config.Head, config.Inventory, error) {
	if p.generation == 0 {
		return config.Head{}, config.Inventory{}, config.ErrNoConfiguration
	}
	return config.Head{Generation: p.generation}, p.inventory, nil
}

type fakeReporter struct{ ready bool }

func (r *fakeReporter) Ready() bool                  { return r.ready }
func (*fakeReporter) Status() operator.Status        { return operator.Status{Router: "r"} }
func (*fakeReporter) Upstreams() []operator.Upstream { return nil }
func (*fakeReporter) Teams() []operator.Team         { return nil }
func (*fakeReporter) Suspects() []operator.Suspect   { return nil }

var _ = Describe("the admin API", func() {
	var (
		publisher *fakePublisher
		reporter  *fakeReporter
		server    *httptest.Server
		ctx       context.Context
	)

	BeforeEach(func() {
		ctx = context.Background()
		publisher = &fakePublisher{}
		reporter = &fakeReporter{}
		sum := sha256.Sum256([]byte(token))
		handler := operator.NewHTTPServer(operator.Options{
			Tokens:    []config.AdminToken{{Name: "ann", Hash: hex.EncodeToString(sum[:])}},
			Publisher: publisher,
			Reporter:  reporter,
			Log:       zap.NewNop(),
		}).Handler
		server = httptest.NewServer(handler)
		DeferCleanup(server.Close)
	})

	call := func(method, path, body string, header http.Header) *http.Response {
		GinkgoHelper()
		req, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header = header.Clone()
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		return resp
	}
	bearer := func(pairs ...string) http.Header {
		h := http.Header{"Authorization": {"Bearer " + token}}
		for i := 0; i < len(pairs); i += 2 {
			h.Set(pairs[i], pairs[i+1])
		}
		return h
	}

	It("requires a token for all paths except liveness and readiness", func() {
		for _, path := range []string{"/v1/config", "/v1/status", "/v1/teams", "/v1/upstreams", "/v1/suspects", "/debug/vars"} {
			Expect(call("GET", path, "", http.Header{})).To(HaveHTTPStatus(http.StatusUnauthorized))
			Expect(call("GET", path, "", http.Header{"Authorization": {"Bearer wrong"}})).To(HaveHTTPStatus(http.StatusUnauthorized))
		}
		Expect(call("GET", "/healthz", "", http.Header{})).To(HaveHTTPStatus(http.StatusOK))
		Expect(call("GET", "/readyz", "", http.Header{})).To(HaveHTTPStatus(http.StatusServiceUnavailable))
		reporter.ready = true
		Expect(call("GET", "/readyz", "", http.Header{})).To(HaveHTTPStatus(http.StatusOK))
		Expect(call("GET", "/v1/status", "", bearer())).To(HaveHTTPStatus(http.StatusOK))
	})

	It("accepts a change with a base generation and records its author", func() {
		Expect(call("PUT", "/v1/config", "", bearer())).To(HaveHTTPStatus(http.StatusPreconditionRequired))
		resp := call("PUT", "/v1/config", "regions: []\n", bearer("If-Match", `"0"`, "Change-Id", "c1"))
		Expect(resp).To(HaveHTTPStatus(http.StatusOK))
		Expect(resp).To(HaveHTTPHeaderWithValue("ETag", `"1"`))
		Expect(publisher.applied).To(HaveLen(1))
		Expect(publisher.applied[0]).To(And(HaveField("Author", "ann"), HaveField("ChangeID", "c1"), HaveField("Base", BeZero())))
	})

	It("returns the changes of a dry run without applying them", func() {
		resp := call("PUT", "/v1/config?dry_run=true", "regions: []\n", bearer("If-Match", `"0"`))
		Expect(resp).To(HaveHTTPBody(ContainSubstring(`"teams"`)))
		Expect(publisher.applied).To(BeEmpty())
	})

	It("maps errors to status codes", func() {
		put := func() *http.Response { return call("PUT", "/v1/config", "regions: []\n", bearer("If-Match", `"0"`)) }
		Expect(call("GET", "/v1/config", "", bearer())).To(HaveHTTPStatus(http.StatusNotFound))
		Expect(call("PUT", "/v1/config", "nonsense: [", bearer("If-Match", `"0"`))).To(HaveHTTPStatus(http.StatusBadRequest))
		for err, status := range map[error]int{
			&config.ConflictError{Current: 4, Changes: []config.Change{{ID: "t"}}}: http.StatusConflict,
			config.ErrNotAccepted:    http.StatusServiceUnavailable,
			config.ErrOutcomeUnknown: http.StatusGatewayTimeout,
		} {
			publisher.err = err
			Expect(put()).To(HaveHTTPStatus(status))
		}
	})

	It("serves the client", func() {
		client := operator.NewClient(server.URL, token)
		generation, err := client.Generation(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeZero())
		accepted, err := client.Apply(ctx, config.Inventory{}, 0, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(accepted.Generation).To(BeEquivalentTo(1))
		_, generation, err = client.Config(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(generation).To(BeEquivalentTo(1))
		publisher.err = &config.ConflictError{Current: 2}
		_, err = client.Apply(ctx, config.Inventory{}, 1, false)
		Expect(err).To(MatchError(operator.ErrConflict))
		server.Close()
		_, err = client.Apply(ctx, config.Inventory{}, 1, false)
		Expect(err).To(MatchError(operator.ErrOutcomeUnknown), "a change whose response is lost may have been accepted")
		_, err = client.Generation(ctx)
		Expect(err).To(MatchError(operator.ErrUnavailable))
	})
})
