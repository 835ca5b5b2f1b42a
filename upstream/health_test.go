package upstream

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestBrokenHealthResponseIsNoSuccess guards against an upstream that is taken for healthy by
// the first line of a response that breaks off.
func TestBrokenHealthResponseIsNoSuccess(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newTestClient(t, abortResponse).CheckHealth(t.Context())).To(MatchError(ErrInterrupted))
	endless := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	g.Expect(endless.CheckHealth(t.Context())).To(MatchError(ErrInterrupted))
	g.Expect(newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }).CheckHealth(t.Context())).To(Succeed())
}
