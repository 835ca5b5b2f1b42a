package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
)

// fakeBackend records its last request, and responds with serve if it is set.
type fakeBackend struct {
	last  *Request
	serve func(ctx context.Context, w Responder) error
}

func (b *fakeBackend) Serve(ctx context.Context, req *Request, w Responder) error {
	b.last = req
	if b.serve != nil {
		return b.serve(ctx, w)
	}
	if err := w.Start(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}); err != nil {
		return err
	}
	return w.Write([]byte("done"))
}

// newTestServer starts a server for team "t" with key "k", a model service "m" and a
// plain service "p" whose POST /orders is non-idempotent.
func newTestServer(t *testing.T, b *fakeBackend) *httptest.Server {
	hash := sha256.Sum256([]byte("k"))
	index, err := config.NewIndex(config.Inventory{
		Teams: []config.Team{{ID: "t", KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		Services: []config.Service{
			{ID: "m", Kind: config.KindModel, MaxBodyBytes: 1 << 10},
			{ID: "p", Kind: config.KindPlain, MaxBodyBytes: 64, MaxDuration: config.Duration(time.Minute)},
		},
		Rules: config.Rules{NonIdempotent: []config.NonIdempotentRule{
			{Service: "p", Methods: []string{"POST"}, PathPrefix: "/orders/"},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(Options{
		Limits:  config.HTTPLimits{MaxBodyBytes: 1 << 10, MaxHeaderBytes: 1 << 12, HeaderTimeout: config.Duration(time.Minute)},
		Log:     zap.NewNop(),
		Index:   func() *config.Index { return index },
		Backend: b,
	}).HTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// call sends a request with the team's key, unless the header contains another
// one. It returns the response, its body and the error of reading the body.
func call(g *WithT, s *httptest.Server, method, path, body string, header http.Header) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, s.URL+path, strings.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	if header != nil {
		req.Header = header
	}
	if req.Header.Get("Authorization") == "" {
		req.Header.Set("Authorization", "Bearer k")
	}
	resp, err := s.Client().Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func TestRefusals(t *testing.T) {
	b := &fakeBackend{}
	s := newTestServer(t, b)
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
	}{
		{"wrong key", "GET", "/services/p/x", "", http.Header{"Authorization": {"Bearer x"}}, 401},
		{"no authorization scheme", "GET", "/services/p/x", "", http.Header{"Authorization": {"k"}}, 401},
		{"unknown path", "GET", "/v2/x", "", nil, 404},
		{"unknown service", "GET", "/services/x/", "", nil, 404},
		{"model service under the path of plain services", "GET", "/services/m/", "", nil, 404},
		{"plain service as the model", "POST", "/v1/completions", `{"model":"p"}`, nil, 404},
		{"invalid JSON", "POST", "/v1/completions", "{", nil, 400},
		{"no model", "POST", "/v1/completions", "{}", nil, 400},
		{"no idempotency key", "POST", "/services/p/orders", "", nil, 400},
		{"long idempotency key", "GET", "/services/p/x", "", http.Header{"Idempotency-Key": {strings.Repeat("k", 256)}}, 400},
		{"idempotency key that is no text", "POST", "/services/p/orders", "", http.Header{"Idempotency-Key": {"k\xff"}}, 400},
		{"header that is no text", "GET", "/services/p/x", "", http.Header{"X-Name": {"Jos\xe9"}}, 400},
		{"invalid timeout", "GET", "/services/p/x", "", http.Header{"Request-Timeout": {"soon"}}, 400},
		{"timeout below the minimum", "GET", "/services/p/x", "", http.Header{"Request-Timeout": {"1e-20"}}, 400},
		{"body over the service's limit", "POST", "/services/p/x", strings.Repeat("b", 65), nil, 413},
		{"body over the server's limit", "POST", "/services/p/x", strings.Repeat("b", 1025), nil, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			resp, body, err := call(g, s, c.method, c.path, c.body, c.header)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(c.status), string(body))
			g.Expect(resp.Header.Get(HeaderOutcome)).To(Equal(string(OutcomeNotRun)))
			g.Expect(b.last).To(BeNil())
		})
	}
}

func TestNonIdempotentByDecodedPath(t *testing.T) {
	b := &fakeBackend{}
	s := newTestServer(t, b)
	for path, want := range map[string]bool{
		"/orders": true, "/orders/7": true, "/orders?x=1": true, "/%6frders": true, "//orders": true,
		"/x/../orders": true, "/stock": false, "/ordersheet": false, "/?x=/orders": false,
	} {
		g := NewWithT(t)
		_, _, err := call(g, s, "POST", "/services/p"+path, "", http.Header{"Idempotency-Key": {"1"}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(b.last.NonIdempotent).To(Equal(want), path)
		g.Expect(b.last.Path).To(Equal(path))
	}
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{}
	s := newTestServer(t, b)
	_, _, err := call(g, s, "GET", "/services/p/x", "", http.Header{
		"Connection":      {"X-One", "X-Two, X-Three"},
		"X-One":           {"1"},
		"X-Two":           {"2"},
		"X-Three":         {"3"},
		"X-Kept":          {"4"},
		"X-Resume-Offset": {"5"},
		"Request-Timeout": {"7.5"},
		"Traceparent":     {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"},
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.last.Header).To(HaveKey("X-Kept"))
	for _, name := range []string{
		"Connection", "X-One", "X-Two", "X-Three", "X-Resume-Offset", "Request-Timeout", "Traceparent", "Authorization",
	} {
		g.Expect(b.last.Header).NotTo(HaveKey(name))
	}
	g.Expect(time.Until(b.last.Deadline)).To(And(BeNumerically(">", 0), BeNumerically("<=", 7500*time.Millisecond)))
}

func TestMaxWaitWithoutTimeout(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{}
	_, _, err := call(g, newTestServer(t, b), "GET", "/services/p/x", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.last.Deadline).To(BeZero())
	g.Expect(b.last.MaxWait).To(Equal(time.Minute))
}

func TestOutcomeIsHeaderOrTrailer(t *testing.T) {
	long := strings.Repeat("b", maxBufferedBytes+1)
	for _, c := range []struct {
		contentType, body string
		trailer           bool
	}{{"text/plain", "short", false}, {"text/plain", long, true}, {"text/event-stream", "short", true}} {
		g := NewWithT(t)
		b := &fakeBackend{serve: func(_ context.Context, w Responder) error {
			if err := w.Start(200, http.Header{"Content-Type": {c.contentType}}); err != nil {
				return err
			}
			return w.Write([]byte(c.body))
		}}
		resp, body, err := call(g, newTestServer(t, b), "GET", "/services/p/x", "", nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal(c.body))
		expected, unexpected := resp.Header, resp.Trailer
		if c.trailer {
			expected, unexpected = unexpected, expected
		}
		g.Expect(expected.Get(HeaderOutcome)).To(Equal("complete"))
		g.Expect(unexpected.Get(HeaderOutcome)).To(BeEmpty())
	}
}

func TestAbortedStreamIsDetectable(t *testing.T) {
	b := &fakeBackend{serve: func(_ context.Context, w Responder) error {
		header := http.Header{"Content-Type": {"text/event-stream"}, "Content-Length": {"100"}}
		err := w.Start(200, header)
		return errors.Join(err, w.Write([]byte("data: 1\n\n")), Unknown(502, "upstream_failed", ""))
	}}
	s := newTestServer(t, b)
	t.Run("to HTTP/1.1", func(t *testing.T) {
		g := NewWithT(t)
		resp, _, err := call(g, s, "GET", "/services/p/x", "", nil)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		g.Expect(resp.Trailer.Get(HeaderOutcome)).To(BeEmpty())
	})
	t.Run("to HTTP/1.0", func(t *testing.T) {
		g := NewWithT(t)
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /services/p/x HTTP/1.0\r\nAuthorization: Bearer k\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(conn)
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
	})
}

func TestBufferedResponseIsReplacedByNextAttempt(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{serve: func(_ context.Context, w Responder) error {
		return errors.Join(
			w.Start(http.StatusOK, http.Header{"X-Attempt": {"1"}}), w.Write([]byte("half of the fir")),
			w.Start(http.StatusAccepted, http.Header{}), w.Write([]byte("second")))
	}}
	resp, body, err := call(g, newTestServer(t, b), "GET", "/services/p/x", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusAccepted))
	g.Expect(resp.Header).NotTo(HaveKey("X-Attempt"))
	g.Expect(string(body)).To(Equal("second"))
}

func TestRefusalReplacesBufferedResponse(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{serve: func(_ context.Context, w Responder) error {
		return errors.Join(w.Start(200, http.Header{"X-Attempt": {"1"}}), w.Write([]byte("half")),
			Unknown(http.StatusBadGateway, "upstream_failed", "broke"))
	}}
	resp, body, err := call(g, newTestServer(t, b), "GET", "/services/p/x", "", nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Expect(resp.Header.Get(HeaderOutcome)).To(Equal("unknown"))
	g.Expect(string(body)).NotTo(ContainSubstring("half"))
}

func FuzzCallerHeaders(f *testing.F) {
	f.Add("1.5", "order-1")
	f.Add("1e-20", "")
	f.Add("NaN", "\x00")
	f.Add("1e400", strings.Repeat("k", maxIdempotencyKeyBytes+1))
	f.Add("86400.0000001", " ")
	f.Fuzz(func(t *testing.T, timeout, key string) {
		h := http.Header{HeaderRequestTimeout: {timeout}, HeaderIdempotencyKey: {key}}
		d, err := requestTimeout(h)
		if err == nil && timeout != "" && (d <= 0 || d > maxRequestTimeout) {
			t.Errorf("timeout %q is accepted as %v", timeout, d)
		}
		got, err := idempotencyKey(h, true)
		if err == nil && (got != key || key == "" || len(key) > maxIdempotencyKeyBytes) {
			t.Errorf("key %q is accepted as %q", key, got)
		}
		for _, e := range []error{err} {
			var refusal *Refusal
			if e != nil && (!errors.As(e, &refusal) || refusal.Outcome != OutcomeNotRun) {
				t.Errorf("error %v is not a refusal with outcome not-run", e)
			}
		}
	})
}
