package standin_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

// Guards against a meter that counts by whole seconds and so misses a burst across two.
func TestColdMeterCountsWithinAnySecond(t *testing.T) {
	g := NewWithT(t)
	var m standin.ColdMeter
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	receive := func(ms int) int {
		_, n := m.Receive(start.Add(time.Duration(ms) * time.Millisecond))
		return n
	}
	g.Expect(receive(0)).To(BeZero(), "warm")
	m.Start(start, 2*time.Second)
	var counts []int
	for _, ms := range []int{800, 900, 1100, 1799, 1800, 1950, 2000} {
		counts = append(counts, receive(ms))
	}
	g.Expect(counts).To(Equal([]int{1, 2, 3, 4, 4, 4, 0}))
	g.Expect(m.Counters()).To(Equal(standin.ColdCounters{ColdReceived: 6, ColdPeak: 4}))
}
