package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestShorterDeadlineIndicatesARetry(t *testing.T) {
	g := NewWithT(t)
	d := newRetryDetector()
	g.Expect(d.priorWait("a", 8*time.Second)).To(BeZero())
	g.Expect(d.priorWait("a", 8*time.Second)).To(BeZero())
	g.Expect(d.priorWait("a", 7700*time.Millisecond)).To(Equal(300 * time.Millisecond))
	// A small difference is the transit time.
	g.Expect(d.priorWait("a", 7995*time.Millisecond)).To(BeZero())
	// Routes are independent, and callers may set no deadline.
	g.Expect(d.priorWait("b", time.Second)).To(BeZero())
	g.Expect(d.priorWait("a", 0)).To(BeZero())
	// A longer deadline becomes the new reference.
	g.Expect(d.priorWait("a", 9*time.Second)).To(BeZero())
	g.Expect(d.priorWait("a", 8*time.Second)).To(Equal(time.Second))
}
