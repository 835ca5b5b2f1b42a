package outlier_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/outlier"
)

var start = time.Unix(1000, 0)

func newDetector() *outlier.Detector {
	return outlier.NewDetector(outlier.Options{
		BaseEjection: time.Second, MaxEjection: 4 * time.Second, BrokenInARow: 2, Smoothing: 0.1,
	})
}

func TestUnreachableUpstreamIsEjectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	g.Expect(d.Observe(start, start, outlier.Unreachable)).To(BeTrue())
	g.Expect(d.Ejected(start.Add(999 * time.Millisecond))).To(BeTrue())
	g.Expect(d.Ejected(start.Add(time.Second))).To(BeFalse())
}

func TestEjectionsGrowUntilASuccess(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	now := start
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		g.Expect(d.Observe(now, now, outlier.Unreachable)).To(BeTrue())
		g.Expect(d.Ejected(now.Add(want - time.Millisecond))).To(BeTrue())
		now = now.Add(want)
		g.Expect(d.Ejected(now)).To(BeFalse())
	}
	now = now.Add(time.Millisecond)
	d.Observe(now, now, outlier.Success)
	d.Observe(now, now, outlier.Unreachable)
	g.Expect(d.Ejected(now.Add(time.Second))).To(BeFalse())
}

// A crash breaks all connections at once; a single lost answer is no crash.
func TestSingleBrokenAnswerDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	g.Expect(d.Observe(start, start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Observe(start, start, outlier.Success)).To(BeFalse())
	g.Expect(d.Observe(start, start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Observe(start, start, outlier.Broken)).To(BeTrue())
	// The other connections of the crash don't lengthen the ejection.
	g.Expect(d.Observe(start, start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Ejected(start.Add(time.Second))).To(BeFalse())
}

func TestFailuresRaiseTheRateOnly(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for range 100 {
		d.Observe(start, start, outlier.Failure)
	}
	g.Expect(d.Ejected(start)).To(BeFalse())
	g.Expect(d.FailureRate()).To(BeNumerically(">", 0.99))
}
