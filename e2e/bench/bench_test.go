package bench

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBench(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench")
}

var _ = Describe("the gap tracker", func() {
	begin := time.Unix(1000, 0)
	at := func(n int) time.Time { return begin.Add(time.Duration(n) * sampleInterval) }
	served := func(values ...float64) []TeamSample {
		samples := make([]TeamSample, len(values))
		for i, v := range values {
			samples[i] = TeamSample{Served: v, Backlogged: true}
		}
		return samples
	}

	It("gives the gap in largest requests per slot of the fair share", func() {
		// The fair shares of the 6 slots are 4 and 2.
		g := NewGapTracker([]float64{2, 1}, 6, 100)
		g.Observe(at(0), served(50, 70))
		g.Observe(at(1), served(450, 70))
		// The gap is 400/2, and the unit 100 x 4 slots / 2.
		Expect(g.Max(at(0), at(2))).To(BeNumerically("~", 1))
	})

	It("keeps the largest gap of all sub-windows in a range", func() {
		g := NewGapTracker([]float64{1, 1}, 2, 10)
		g.Observe(at(0), served(0, 0))
		g.Observe(at(1), served(30, 0))
		g.Observe(at(2), served(30, 20))
		Expect(g.Max(at(0), at(3))).To(BeNumerically("~", 3))
		Expect(g.Max(at(2), at(3))).To(BeNumerically("~", 1))
	})

	It("counts only teams that were backlogged throughout", func() {
		g := NewGapTracker([]float64{1, 1, 1}, 3, 10)
		g.Observe(at(0), served(0, 0, 0))
		idle := served(10, 10, 0)
		idle[2].Backlogged = false
		g.Observe(at(1), idle)
		g.Observe(at(2), served(20, 20, 0))
		Expect(g.Max(at(0), at(3))).To(BeZero())
		Expect(g.Backlogged()).To(Equal(2))
		Expect(g.Jain(served(20, 20, 0))).To(BeNumerically("~", 1))
	})
})

var _ = Describe("the meter", func() {
	It("counts a team as backlogged until its requests have their first token", func() {
		m := newMeter(2, 4)
		first := m.requestSent(0)
		Expect(m.samples()[0].Backlogged).To(BeTrue())
		Expect(m.longestFirstTokenWait(0)).To(BeNumerically(">", 0))
		m.firstToken(0, first, 2.5)
		m.addServed(0, 1)
		Expect(m.samples()[0]).To(Equal(TeamSample{Served: 3.5}))
		m.requestEnded(0, first, nil)
		m.requestEnded(0, m.requestSent(0), ErrResponse)
		Expect(m.samples()[0].Backlogged).To(BeFalse())
		Expect(m.totals().completed).To(Equal(1))
		Expect(m.totals().failed).To(Equal(1))
	})
})

var _ = Describe("a figure", func() {
	It("round-trips through JSON and compares its value with its target", func() {
		target := 0.97
		low := Figure{Name: Utilisation, Scenario: "steady", Value: 0.9, Unit: "ratio", Target: &target}
		high := Figure{Name: FairnessGap, Scenario: "steady", Value: 0.9, Unit: "u", Target: &target}
		var buf bytes.Buffer
		Expect(low.Write(&buf)).To(Succeed())
		Expect(high.Write(&buf)).To(Succeed())
		figures, err := ReadFigures(&buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(figures).To(Equal([]Figure{low, high}))
		Expect(low.Met()).To(BeFalse())
		Expect(high.Met()).To(BeTrue())
		Expect(Markdown(figures)).To(ContainSubstring("| steady | utilisation | 0.9 | ratio | ≥ 0.97 | **no** |"))
	})
})
