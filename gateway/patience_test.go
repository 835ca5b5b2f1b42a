package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestShorterDeadlineTellsThatTheCallerCameBack(t *testing.T) {
	g := NewWithT(t)
	p := newPatience()
	g.Expect(p.waited("a", 8*time.Second)).To(BeZero())
	g.Expect(p.waited("a", 8*time.Second)).To(BeZero())
	g.Expect(p.waited("a", 7700*time.Millisecond)).To(Equal(300 * time.Millisecond))
	// The way takes its time.
	g.Expect(p.waited("a", 7995*time.Millisecond)).To(BeZero())
	// Routes differ, and callers need not say.
	g.Expect(p.waited("b", time.Second)).To(BeZero())
	g.Expect(p.waited("a", 0)).To(BeZero())
	// A longer deadline is the usual one from now on.
	g.Expect(p.waited("a", 9*time.Second)).To(BeZero())
	g.Expect(p.waited("a", 8*time.Second)).To(Equal(time.Second))
}
