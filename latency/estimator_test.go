package latency_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/latency"
)

// Guards against an estimate that most of the durations exceed, and against one that stays
// long after they have changed.
func TestUpperFollowsTheSamples(t *testing.T) {
	g := NewWithT(t)
	var e latency.Estimator
	_, known := e.Upper()
	g.Expect(known).To(BeFalse())
	e.Record(-time.Second)
	_, known = e.Upper()
	g.Expect(known).To(BeFalse())
	e.Record(time.Second)
	upper, known := e.Upper()
	g.Expect(known).To(BeTrue())
	g.Expect(upper).To(Equal(3 * time.Second))
	for range 40 {
		e.Record(10 * time.Millisecond)
	}
	upper, _ = e.Upper()
	g.Expect(upper).To(BeNumerically("<", 100*time.Millisecond))
}

// Guards against an estimate below what always happens.
func TestUpperIsNotBelowTheLeastSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e latency.Estimator
		least := time.Hour
		for _, ms := range rapid.SliceOfN(rapid.IntRange(0, 60_000), 1, 100).Draw(t, "samples") {
			sample := time.Duration(ms) * time.Millisecond
			least = min(least, sample)
			e.Record(sample)
		}
		if upper, _ := e.Upper(); upper < least-time.Microsecond {
			t.Fatalf("upper %v, least sample %v", upper, least)
		}
	})
}
