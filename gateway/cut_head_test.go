package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// cutEvery is the distance of the bytes at which a head is cut. It has no common factor with the
// lengths of lines, so that cuts come at every place within one.
const cutEvery = 7

// cutHeads are heads of successful responses by what is unusual about them. ID stands for the
// request's id.
var cutHeads = map[string]string{
	"with a length":           signedHead + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\n",
	"in chunks":               signedHead + inChunks + "\r\n",
	"ended by the connection": signedHead + "Content-Type: text/plain\r\n\r\n",
	"a stream":                signedHead + streamType + inChunks + "\r\n",
	"after interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + signedHead + "\r\n",
}

// Guards against a response whose head was cut that reaches a caller as a success, with an empty
// or short body.
func TestCutHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	kinds := map[string]string{"/safe/": "GET", "/unsafe/": "POST", "/keyed/": "POST", "/stream/": "POST"}
	for framing, head := range cutHeads {
		for _, reset := range []bool{false, true} {
			t.Run(framing+", reset "+strconv.FormatBool(reset), func(t *testing.T) {
				t.Parallel()
				s := startCutting(t, head, reset)
				for path, method := range kinds {
					for at := 1; at < len(head); at += cutEvery {
						s.expectNoSuccess(t, method, path, at)
					}
					s.expectNoSuccess(t, method, path, len(head)-1)
				}
			})
		}
	}
}

// cuttingSite is a gateway whose upstream cuts the heads of its responses.
type cuttingSite struct {
	*node
	upstream *server
	cutAt    atomic.Int64
}

func startCutting(t *testing.T, head string, reset bool) *cuttingSite {
	site := &cuttingSite{}
	site.upstream = startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) {
		text := strings.ReplaceAll(head, "ID", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(c, text[:int(site.cutAt.Load())])
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	})
	site.node = startGateway(t, "g1", storeOf(plainDefinition(), site.upstream), func(o *gateway.Options) {
		o.Policy.Admission.Outlier.ConsecutiveBroken, o.Policy.Admission.Outlier.Smoothing = 1<<30, 0
		o.Policy.Retry.Slack = 1 << 20
	})
	awaitReady(t, site.node)
	return site
}

// expectNoSuccess sends a request whose response is cut, and checks what its caller gets. No two
// requests have the same path and body, as one that breaks several upstreams is refused.
func (s *cuttingSite) expectNoSuccess(t *testing.T, method, path string, at int) {
	t.Helper()
	g := NewWithT(t)
	s.cutAt.Store(int64(at))
	before := s.upstream.count()
	req, err := http.NewRequest(method, s.url+path+strconv.Itoa(at), strings.NewReader("order "+strconv.Itoa(at)))
	g.Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Request-Id", "id")
	resp, err := http.DefaultClient.Do(req)
	g.Expect(s.upstream.count()).To(BeNumerically(">", before), "%s cut at %d reaches the upstream", path, at)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	g.Expect(resp.StatusCode).To(BeNumerically(">=", 500), "%s cut at %d", path, at)
}
