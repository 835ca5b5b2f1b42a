package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Pattern: a router that has just started, with an initial rate that is far off.
func TestFirstObservationsCorrectTheRateFast(t *testing.T) {
	g := NewWithT(t)
	const (
		initial = 40_000
		actual  = 80_000
	)
	m := newPrefillModel(initial, 0)
	for range 8 {
		m.observe(20_000, 20_000*time.Second/actual)
	}
	g.Expect(m.rate).To(BeNumerically("~", actual, 0.1*actual))
	m.observe(20_000, 20_000*time.Second/initial)
	g.Expect(m.rate).To(BeNumerically(">", 0.85*actual), "a single one says little later on")
}
