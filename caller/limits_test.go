package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
)

// limitedServer starts a server with a header timeout of 50 ms and headers of at
// most 4 KiB, and returns its address.
func limitedServer(t *testing.T) string {
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(Options{
		Limits: config.HTTPLimits{
			MaxBodyBytes:   1 << 10,
			MaxHeaderBytes: 4 << 10,
			HeaderTimeout:  config.Duration(50 * time.Millisecond),
		},
		Log:     zap.NewNop(),
		Index:   func() *config.Index { return nil },
		Backend: &fakeBackend{},
	}).HTTPServer()
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestSlowHeadersTimeOut(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", limitedServer(t))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = io.ReadAll(conn)
	g.Expect(err).NotTo(HaveOccurred(), "the server closes the connection before the client's deadline")
}

func TestOversizedHeadersAreRefused(t *testing.T) {
	g := NewWithT(t)
	conn, err := net.Dial("tcp", limitedServer(t))
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	// net/http allows 4 KiB beyond the limit.
	large := strings.Repeat("a", 32<<10)
	go func() {
		_, _ = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Large: "+large+"\r\n\r\n")
	}()
	g.Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	g.Expect(resp).To(HaveHTTPStatus(http.StatusRequestHeaderFieldsTooLarge))
}
