package upstream

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestResumedStreamMayBeginWithALineFeed guards against a resumed stream that is broken off
// because the event before it ended with a carriage return of which the line feed comes now.
func TestResumedStreamMayBeginWithALineFeed(t *testing.T) {
	g := NewWithT(t)
	call := postCall("x")
	call.ResumeOffset = 7
	got := &recordingSink{}
	g.Expect(newTestClient(t, streaming("\n"+tokens(1, 2)+doneEvent)).Do(t.Context(), call, got)).To(Succeed())
	g.Expect(got.body.String()).To(Equal("\n" + tokens(1, 2) + doneEvent))
}
