package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

const firstEvents = "id: 1\ndata: a\n\n"

// receiveFromWriter returns all bytes of a response that begins as a stream and on which write
// is called then.
func receiveFromWriter(t *testing.T, log *zap.Logger, write func(rw *responseWriter)) string {
	t.Helper()
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rw := newResponseWriter(w, r, func() bool { return false }, log)
		rw.requestID = "r1"
		rw.writeHead(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		_ = rw.writeAndFlush([]byte(firstEvents))
		write(rw)
	}))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	raw, _ := io.ReadAll(c) // The connection may be reset.
	return string(raw)
}

// TestStartedResponseTakesNoOther guards against a refusal or an answer of another upstream
// that is written into a response which has begun, whatever the code before it does.
func TestStartedResponseTakesNoOther(t *testing.T) {
	for name, write := range map[string]func(*responseWriter){
		"a refusal": func(rw *responseWriter) { rw.writeRefusal(unknownOutcome("upstream_failed", "marker")) },
		"a buffered response": func(rw *responseWriter) {
			(&bufferedResponse{status: 500, header: http.Header{"Marker": {"marker"}}, body: []byte("marker")}).send(rw)
		},
		"a head": func(rw *responseWriter) { rw.writeHead(http.StatusOK, http.Header{"Marker": {"marker"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			core, logged := observer.New(zapcore.WarnLevel)
			before := secondHeads.Value()
			raw := receiveFromWriter(t, zap.New(core), write)
			_, body, _ := strings.Cut(raw, "\r\n\r\n")
			g.Expect(body).To(Equal(fmt.Sprintf("%x\r\n%s\r\n", len(firstEvents), firstEvents)), "without the end of the body")
			g.Expect(secondHeads.Value() - before).To(BeEquivalentTo(1))
			g.Expect(logged.FilterMessage("second response rejected").FilterField(zap.String("request", "r1")).Len()).To(Equal(1))
		})
	}
}
