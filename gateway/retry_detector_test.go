package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestShorterDeadlineTellsThatTheCallerCameBack(t *testing.T) {
	g := NewWithT(t)
	p := newRetryDetector()
	g.Expect(p.priorWait("a", 8*time.Second)).To(BeZero())
	g.Expect(p.priorWait("a", 8*time.Second)).To(BeZero())
	g.Expect(p.priorWait("a", 7700*time.Millisecond)).To(Equal(300 * time.Millisecond))
	// A small difference is the transit time.
	g.Expect(p.priorWait("a", 7995*time.Millisecond)).To(BeZero())
	// Routes are independent, and callers may set no deadline.
	g.Expect(p.priorWait("b", time.Second)).To(BeZero())
	g.Expect(p.priorWait("a", 0)).To(BeZero())
	// A longer deadline becomes the new reference.
	g.Expect(p.priorWait("a", 9*time.Second)).To(BeZero())
	g.Expect(p.priorWait("a", 8*time.Second)).To(Equal(time.Second))
}
