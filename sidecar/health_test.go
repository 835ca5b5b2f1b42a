package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/internal/answertest"
	"fulmarspindle.example/fulmarspindle/upstream"
)

func TestHealth(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	changes := 0
	h := newHealth("u", upstream.NewClient(server.URL, "/health"), zap.NewNop(), func() { changes++ })
	g.Expect(h.isUp()).To(BeFalse())
	h.recordRequest(t.Context(), true)
	g.Expect(h.isUp()).To(BeTrue())
	crash := func() string {
		started := time.Now()
		return h.crashID(t.Context(), started, upstream.ErrInterrupted)
	}
	g.Expect(crash()).To(BeEmpty(), "the upstream answers its health check")

	h.recordRequest(t.Context(), true)
	for range failureThreshold - 1 {
		h.recordRequest(t.Context(), false)
	}
	h.recordRequest(t.Context(), true)
	h.recordRequest(t.Context(), false)
	g.Expect(h.isUp()).To(BeTrue(), "a completed request resets the count of consecutive failures")

	server.Close()
	startedBefore := time.Now()
	first := crash()
	g.Expect(first).To(HavePrefix("u/"))
	g.Expect(h.isUp()).To(BeFalse(), "the upstream is down after a call that fails midway and a failed probe")
	g.Expect(h.crashID(t.Context(), startedBefore, upstream.ErrInterrupted)).To(Equal(first), "calls that were running in the same crash get the same identifier")
	g.Expect(crash()).To(BeEmpty(), "a call that started after the crash is not suspected")
	g.Expect(changes).To(Equal(2))
}

func TestHealthNextCrashHasNewID(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	h := newHealth("u", upstream.NewClient(server.URL, "/health"), zap.NewNop(), func() {})
	h.recordRequest(t.Context(), true)
	server.Close()
	started := time.Now()
	first := h.crashID(t.Context(), started, upstream.ErrInterrupted)
	h.recordProbeSuccess(time.Now())
	h.step(t.Context(), fleet.RequestDone{OK: true})
	started = time.Now()
	next := h.crashID(t.Context(), started, upstream.ErrInterrupted)
	g.Expect(next).NotTo(BeEmpty())
	g.Expect(next).NotTo(Equal(first))
}

// Guards against requests that are blamed for a crash of an upstream that runs, and sends bytes
// that are no answer to its calls and to its health checks.
func TestBrokenAnswersAreNoCrash(t *testing.T) {
	for name, answer := range map[string]string{
		"no status": "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
		"no head":   "\x17\x03\x03",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			client := upstream.NewClient("http://"+answertest.Serve(t, answertest.Respond(answer)), "/health")
			h := newHealth("u", client, zap.NewNop(), func() {})
			h.recordRequest(t.Context(), true)
			started := time.Now()
			err := client.Do(t.Context(), &upstream.Call{Method: http.MethodPost, Path: "/", IdleTimeout: time.Minute}, nil)
			g.Expect(upstream.IsMalformed(err)).To(BeTrue(), "%v", err)
			g.Expect(h.crashID(t.Context(), started, err)).To(BeEmpty(), "the call got no answer")
			g.Expect(h.crashID(t.Context(), started, upstream.ErrInterrupted)).To(BeEmpty(), "the health check got no answer")
			g.Expect(h.isUp()).To(BeFalse(), "it fails calls all the same")
		})
	}
}
