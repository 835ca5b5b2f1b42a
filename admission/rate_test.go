package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against slow correction of an initial rate that is far off, at a router that has
// just started.
func TestFirstObservationsCorrectTheRateFast(t *testing.T) {
	g := NewWithT(t)
	const (
		initial = 40_000
		actual  = 80_000
	)
	m := newPrefillModel(initial, 0)
	for range 8 {
		m.observe(20_000, 1, 20_000*time.Second/actual)
	}
	g.Expect(m.rate).To(BeNumerically("~", actual, 0.1*actual))
	m.observe(20_000, 1, 20_000*time.Second/initial)
	g.Expect(m.rate).To(BeNumerically(">", 0.85*actual), "a later single observation has little weight")
}
