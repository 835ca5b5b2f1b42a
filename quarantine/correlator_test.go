package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestCrashCorrelator(t *testing.T) {
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

	t.Run("responses broken shortly before and after the crash is detected count", func(t *testing.T) {
		g := NewWithT(t)
		c := NewCrashCorrelator[string]()
		g.Expect(c.RecordBroken(at(0), "u1", "a")).To(BeFalse())
		g.Expect(c.RecordBroken(at(1), "u2", "other")).To(BeFalse())
		g.Expect(c.RecordBroken(at(2), "u1", "b")).To(BeFalse())
		g.Expect(c.RecordCrash(at(3), "u1")).To(ConsistOf("a", "b"))
		g.Expect(c.RecordBroken(at(4), "u1", "c")).To(BeTrue())
		g.Expect(c.RecordCrash(at(5), "u1")).To(BeEmpty(), "each response counts once")
	})
	t.Run("a response broken long before a crash does not count", func(t *testing.T) {
		g := NewWithT(t)
		c := NewCrashCorrelator[string]()
		c.RecordBroken(at(0), "u1", "a")
		g.Expect(c.RecordCrash(at(2001), "u1")).To(BeEmpty())
	})
	t.Run("a response broken long after a crash does not count", func(t *testing.T) {
		g := NewWithT(t)
		c := NewCrashCorrelator[string]()
		c.RecordCrash(at(0), "u1")
		g.Expect(c.RecordBroken(at(2001), "u1", "a")).To(BeFalse())
	})
	t.Run("the number of remembered responses is bounded", func(t *testing.T) {
		g := NewWithT(t)
		c := NewCrashCorrelator[string]()
		for range maxBrokenResponses + 10 {
			c.RecordBroken(at(0), "u1", "a")
		}
		g.Expect(c.RecordCrash(at(1), "u1")).To(HaveLen(maxBrokenResponses))
	})
}
