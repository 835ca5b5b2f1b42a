package sidecar

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/upstream"
)

func TestHealth(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	var changes []bool
	h := newHealth("u", upstream.NewClient(server.URL, "/health"), zap.NewNop(), func(up bool) { changes = append(changes, up) })
	h.observe(nil)
	g.Expect(h.isUp()).To(BeTrue())

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	cause := errors.New("broke")
	h.failed(canceled, cause)
	g.Expect(h.isUp()).To(BeTrue(), "a caller that leaves says nothing of the upstream")
	g.Expect(h.broken(cause)).To(BeEmpty(), "it answers its health check")

	for range failuresToDown - 1 {
		h.observe(cause)
	}
	h.succeeded()
	h.observe(cause)
	g.Expect(h.isUp()).To(BeTrue(), "an answered request ends the run of failures")

	server.Close()
	first := h.broken(cause)
	g.Expect(first).To(HavePrefix("u/"))
	g.Expect(h.broken(cause)).To(Equal(first), "one crash has one identifier")
	h.failed(t.Context(), cause)
	g.Expect(changes).To(Equal([]bool{true, false}))
}
