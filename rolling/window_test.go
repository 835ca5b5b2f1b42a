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
	g.Expect(sum(at(1000))).To(Equal(4), "a bucket expires as a whole")
	g.Expect(sum(at(1100))).To(BeZero())
	*w.Current(at(1100)) += 8
	// A time before the newest step is counted in the newest step.
	*w.Current(at(1000)) += 16
	g.Expect(sum(at(1100))).To(Equal(24))
	g.Expect(sum(at(60_000))).To(BeZero(), "all buckets have expired")
}

func TestAt(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1000, 0)
	w := rolling.New[int](time.Second, 10)
	*w.Current(start) = 1
	*w.Current(start.Add(250 * time.Millisecond)) = 2
	now := start.Add(950 * time.Millisecond)
	g.Expect(w.History(now)).To(Equal([]int{0, 0, 0, 0, 0, 0, 0, 2, 0, 1}))
	g.Expect(*w.At(now, start.Add(50*time.Millisecond))).To(Equal(1))
	g.Expect(*w.At(now, start.Add(299*time.Millisecond))).To(Equal(2))
	g.Expect(w.At(now, start.Add(-time.Millisecond))).To(BeNil(), "before the first use")
	g.Expect(w.At(now, now.Add(time.Second))).To(BeNil(), "in the future")
	g.Expect(w.At(start.Add(time.Second), start)).To(BeNil(), "before the window")
}
