package rolling_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/rolling"
)

func TestWindow(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := rolling.New[int](time.Second, 10)
	sum := func(now time.Time) int {
		total := 0
		for _, n := range w.Buckets(now) {
			total += n
		}
		return total
	}
	*w.Current(at(0)) += 1
	*w.Current(at(50)) += 2
	*w.Current(at(100)) += 4
	g.Expect(sum(at(999))).To(Equal(7))
	g.Expect(sum(at(1000))).To(Equal(4), "a whole step leaves at once")
	g.Expect(sum(at(1100))).To(BeZero())
	*w.Current(at(1100)) += 8
	// A clock that goes back counts to the newest step.
	*w.Current(at(1000)) += 16
	g.Expect(sum(at(1100))).To(Equal(24))
	g.Expect(sum(at(60_000))).To(BeZero(), "after a long pause")
}
