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
		BaseEjection: time.Second, MaxEjection: 4 * time.Second, ConsecutiveBroken: 2, Smoothing: 0.1,
	})
}

func TestUnreachableUpstreamIsEjectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	g.Expect(d.Observe(start, start, outlier.Unreachable)).To(BeTrue())
	g.Expect(d.Ejected(start.Add(999 * time.Millisecond))).To(BeTrue())
	g.Expect(d.Ejected(start.Add(time.Second))).To(BeFalse())
}

func TestEjectionTimeDoublesUntilASuccess(t *testing.T) {
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

// A single broken connection is no evidence of a crash; consecutive ones eject.
func TestSingleBrokenConnectionDoesNotEject(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(d.Observe(at(0), start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Observe(at(200), start, outlier.Success)).To(BeFalse())
	g.Expect(d.Observe(at(400), start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Observe(at(600), start, outlier.Broken)).To(BeTrue())
	// Connections that break during the ejection don't extend it.
	g.Expect(d.Observe(at(800), start, outlier.Broken)).To(BeFalse())
	g.Expect(d.Ejected(at(1600))).To(BeFalse())
}

// Many connections of this process may be reset at once by the network path to a
// healthy upstream. If the upstream crashed, the next connection attempt fails.
func TestConnectionsBrokenTogetherCountOnce(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for range 20 {
		g.Expect(d.Observe(start, start, outlier.Broken)).To(BeFalse())
	}
	g.Expect(d.Observe(start.Add(time.Millisecond), start, outlier.Unreachable)).To(BeTrue())
}

func TestFailuresOnlyRaiseTheFailureRate(t *testing.T) {
	g := NewWithT(t)
	d := newDetector()
	for range 100 {
		d.Observe(start, start, outlier.Failure)
	}
	g.Expect(d.Ejected(start)).To(BeFalse())
	g.Expect(d.FailureRate()).To(BeNumerically(">", 0.99))
}

// TestConsecutiveCorruptResponsesEject guards against an upstream that stays in use although
// its responses hold bytes that are not its own, or break off before it has read the request.
func TestConsecutiveCorruptResponsesEject(t *testing.T) {
	for _, outcome := range []outlier.Outcome{outlier.Corrupt, outlier.Cut} {
		g := NewWithT(t)
		now := time.Unix(1000, 0)
		d := outlier.NewDetector(outlier.Options{BaseEjection: time.Second, MaxEjection: time.Minute, ConsecutiveBroken: 2, Smoothing: 0.1})
		g.Expect(d.Observe(now, now, outcome)).To(BeFalse())
		now = now.Add(time.Second)
		g.Expect(d.Observe(now, now, outcome)).To(BeTrue())
		g.Expect(d.Ejected(now)).To(BeTrue())
		g.Expect(d.FailureRate()).To(BeNumerically(">", 0.1))
	}
}
