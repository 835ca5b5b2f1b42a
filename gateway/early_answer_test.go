package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/internal/answertest"
	"fulmarspindle.example/fulmarspindle/registry"
)

// earlyRoutes are routes with the bodies of their answers.
var earlyRoutes = map[string]string{"/safe/": "text", "/unsafe/": "text", "/keyed/": "text", "/stream/": event(1) + event(2)}

// uploadDialect calls onHead before a response's body is read.
type uploadDialect struct {
	plainDialect
	onHead func()
}

func (d uploadDialect) ClassifyResponse(status int, h http.Header) exchange.Outcome {
	d.onHead()
	return d.plainDialect.ClassifyResponse(status, h)
}

// listeners returns a number of listeners.
func listeners(t *testing.T, count int) (out []net.Listener) {
	for range count {
		out = append(out, answertest.Listen(t))
	}
	return out
}

// uploadSite is a gateway whose upstreams give an answer without a length before they have read
// a request to path.
type uploadSite struct {
	*node
	path string
}

// startUploadSite starts a gateway with upstreams on listeners that end their answers by end. If
// afterUpload is set, the gateway reads an answer's body once its writer has seen the end of the
// upload.
func startUploadSite(t *testing.T, path string, listeners []net.Listener, end func(*net.TCPConn, io.Reader), afterUpload bool) *uploadSite {
	t.Helper()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: id-" + path + "\r\nSigned-By: seal\r\n"
	if path == "/stream/" {
		head += streamType
	}
	early := &answertest.EarlyAnswer{Answer: head + "\r\n" + earlyRoutes[path], Proceed: make(chan struct{}, 8), End: end}
	t.Cleanup(func() { close(early.Proceed) })
	var servers []*server
	for i, ln := range listeners {
		early.StartOn(ln)
		u := registry.Upstream{ID: fleet.UpstreamID(fmt.Sprint("i-", i)), Service: "plain", Address: ln.Addr().String(), Domain: "d1", Slots: 64}
		servers = append(servers, &server{Upstream: u})
	}
	d := plainDefinition()
	d.Limits.BodyBytes = 2 * answertest.UploadBytes
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	n := startGateway(t, "g1", storeOf(d, servers...), func(o *gateway.Options) {
		o.MaxBodyBytes, o.MaxBufferedBytes = 2*answertest.UploadBytes, 4*answertest.UploadBytes
		o.Policy.Admission.Outlier.ConsecutiveBroken = 1
		o.Dialect = uploadDialect{onHead: func() {
			early.Proceed <- struct{}{}
			if afterUpload && !answertest.AwaitNoUpload("upstream.(*Request).write") {
				t.Error("the upload goes on")
			}
		}}
	})
	awaitReady(t, n)
	return &uploadSite{node: n, path: path}
}

// send sends a large request and returns what the caller gets.
func (s *uploadSite) send() (*http.Response, string, error) {
	return send(s.node, http.MethodPost, s.path, strings.Repeat("x", answertest.UploadBytes))
}

// Guards against a caller that gets a part of an answer as a whole one, because its connection
// was reset while the upload was being written and only the writer has seen that (MIXED).
func TestAnswerThatIsCutDuringTheUploadIsNoSuccess(t *testing.T) {
	for path := range earlyRoutes {
		for name, end := range map[string]func(*net.TCPConn, io.Reader){"reset": answertest.ResetUpload, "closed with unread bytes": answertest.CloseUpload} {
			t.Run(path+" "+name, func(t *testing.T) {
				resp, body, err := startUploadSite(t, path, listeners(t, 1), end, true).send()
				if err == nil {
					NewWithT(t).Expect(resp.StatusCode).To(BeNumerically(">=", 500), "body %q", body)
				}
			})
		}
	}
}

// Guards against whole answers that callers don't get, since the upload was read later.
func TestAnswerThatIsWholeBeforeTheUploadIsReadIsRelayed(t *testing.T) {
	for path, want := range earlyRoutes {
		for name, end := range map[string]func(*net.TCPConn, io.Reader){"ended, then read": answertest.EndThenRead, "read, then ended": answertest.ReadUpload} {
			t.Run(path+" "+name, func(t *testing.T) {
				g := NewWithT(t)
				resp, body, err := startUploadSite(t, path, listeners(t, 1), end, false).send()
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal(want))
			})
		}
	}
}

// Guards against a request that is refused as one that crashes upstreams, because these cut their
// answers before they had read it and run on.
func TestRequestsWhoseAnswersAreCutDuringTheUploadAreNoSuspects(t *testing.T) {
	const upstreams = 3
	g := NewWithT(t)
	s := startUploadSite(t, "/unsafe/", listeners(t, upstreams), answertest.ResetUpload, true)
	for range upstreams {
		resp, _, err := s.send()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "it may have run")
	}
	g.Consistently(func() []gateway.Suspect { return s.State().Suspects }).Should(BeEmpty())
}

// Guards against a request that goes on to crash upstreams, because they crash before they have
// read it.
func TestRequestThatCrashesUpstreamsDuringTheUploadIsSuspected(t *testing.T) {
	g := NewWithT(t)
	on := listeners(t, 1)
	s := startUploadSite(t, "/unsafe/", on, func(c *net.TCPConn, _ io.Reader) {
		on[0].Close()
		answertest.Reset(c)
	}, true)
	resp, _, err := s.send()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
	g.Eventually(func() []gateway.Suspect { return s.State().Suspects }, eventuallyTimeout).Should(HaveLen(1))
}
