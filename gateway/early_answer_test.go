package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/exchange"
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

// upload sends a large request to a gateway whose upstream gives an answer without a length
// early, and returns what the caller gets. If afterUpload is set, the gateway reads the answer's
// body once its writer has seen the end of the upload.
func upload(t *testing.T, path string, end func(*net.TCPConn, io.Reader), afterUpload bool) (*http.Response, string, error) {
	t.Helper()
	head := "HTTP/1.1 200 OK\r\nRequest-Id: id-" + path + "\r\nSigned-By: seal\r\n"
	if path == "/stream/" {
		head += streamType
	}
	early := &answertest.EarlyAnswer{Answer: head + "\r\n" + earlyRoutes[path], Proceed: make(chan struct{}, 8), End: end}
	t.Cleanup(func() { close(early.Proceed) })
	u := registry.Upstream{ID: "i-1", Service: "plain", Address: early.Start(t), Domain: "d1", Slots: 64}
	d := plainDefinition()
	d.Limits.BodyBytes = 2 * answertest.UploadBytes
	for i := range d.Routes {
		d.Routes[i].Timeout = time.Minute
	}
	n := startGateway(t, "g1", storeOf(d, &server{Upstream: u}), func(o *gateway.Options) {
		o.MaxBodyBytes, o.MaxBufferedBytes = 2*answertest.UploadBytes, 4*answertest.UploadBytes
		o.Dialect = uploadDialect{onHead: func() {
			early.Proceed <- struct{}{}
			if afterUpload && !answertest.AwaitNoUpload("upstream.(*Request).write") {
				t.Error("the upload goes on")
			}
		}}
	})
	awaitReady(t, n)
	return send(n, http.MethodPost, path, strings.Repeat("x", answertest.UploadBytes))
}

// Guards against a caller that gets a part of an answer as a whole one, because its connection
// was reset while the upload was being written and only the writer has seen that (MIXED).
func TestAnswerThatIsCutDuringTheUploadIsNoSuccess(t *testing.T) {
	for path := range earlyRoutes {
		for name, end := range map[string]func(*net.TCPConn, io.Reader){"reset": answertest.ResetUpload, "closed with unread bytes": answertest.CloseUpload} {
			t.Run(path+" "+name, func(t *testing.T) {
				resp, body, err := upload(t, path, end, true)
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
				resp, body, err := upload(t, path, end, false)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal(want))
			})
		}
	}
}
