package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/upstream"
)

func TestHealth(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	changes := 0
	h := newHealth("u", upstream.NewClient(server.URL, "/health"), zap.NewNop(), func() { changes++ })
	g.Expect(h.isUp()).To(BeFalse())
	h.observe(t.Context(), true)
	g.Expect(h.isUp()).To(BeTrue())
	crash := func() string {
		started := time.Now()
		return h.crashOf(t.Context(), started)
	}
	g.Expect(crash()).To(BeEmpty(), "it answers its health check")

	h.observe(t.Context(), true)
	for range failureThreshold - 1 {
		h.observe(t.Context(), false)
	}
	h.observe(t.Context(), true)
	h.observe(t.Context(), false)
	g.Expect(h.isUp()).To(BeTrue(), "an answered request ends the run of failures")

	server.Close()
	beside := time.Now()
	first := crash()
	g.Expect(first).To(HavePrefix("u/"))
	g.Expect(h.isUp()).To(BeFalse(), "a call that breaks off and a failed probe take it down")
	g.Expect(h.crashOf(t.Context(), beside)).To(Equal(first), "one crash has one identifier")
	g.Expect(crash()).To(BeEmpty(), "what started after the crash is not suspected")
	g.Expect(changes).To(Equal(2))
}

func TestHealthNamesTheNextCrashAnew(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	h := newHealth("u", upstream.NewClient(server.URL, "/health"), zap.NewNop(), func() {})
	h.observe(t.Context(), true)
	server.Close()
	started := time.Now()
	first := h.crashOf(t.Context(), started)
	h.answered(time.Now())
	h.step(t.Context(), fleet.RequestDone{OK: true})
	started = time.Now()
	next := h.crashOf(t.Context(), started)
	g.Expect(next).NotTo(BeEmpty())
	g.Expect(next).NotTo(Equal(first))
}
