package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestEvidence(t *testing.T) {
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

	t.Run("answers that broke off before and after the news of the crash count", func(t *testing.T) {
		g := NewWithT(t)
		e := NewEvidence()
		g.Expect(e.Broke(at(0), "u1", "a")).To(BeFalse())
		g.Expect(e.Broke(at(1), "u2", "other")).To(BeFalse())
		g.Expect(e.Broke(at(2), "u1", "b")).To(BeFalse())
		g.Expect(e.Crashed(at(3), "u1")).To(ConsistOf("a", "b"))
		g.Expect(e.Broke(at(4), "u1", "c")).To(BeTrue())
		g.Expect(e.Crashed(at(5), "u1")).To(BeEmpty(), "each counts once")
	})
	t.Run("a lost answer long before a crash does not count", func(t *testing.T) {
		g := NewWithT(t)
		e := NewEvidence()
		e.Broke(at(0), "u1", "a")
		g.Expect(e.Crashed(at(2001), "u1")).To(BeEmpty())
	})
	t.Run("a lost answer long after a crash does not count", func(t *testing.T) {
		g := NewWithT(t)
		e := NewEvidence()
		e.Crashed(at(0), "u1")
		g.Expect(e.Broke(at(2001), "u1", "a")).To(BeFalse())
	})
	t.Run("is bounded", func(t *testing.T) {
		g := NewWithT(t)
		e := NewEvidence()
		for range maxBroken + 10 {
			e.Broke(at(0), "u1", "a")
		}
		g.Expect(e.Crashed(at(1), "u1")).To(HaveLen(maxBroken))
	})
}
