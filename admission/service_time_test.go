package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an upstream that gets no requests any more because of long ones: a single
// one does not count, and the estimate returns to the service's mean without new observations.
func TestLongRequestsDoNotMarkAnUpstreamAsSlowForGood(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	const service = 20 * time.Millisecond
	var long upstreamServiceTime
	long.observe(now, 5*time.Second)
	g.Expect(long.estimate(now, service)).To(Equal(service))
	for range 20 {
		long.observe(now, 5*time.Second)
	}
	g.Expect(long.estimate(now, service)).To(BeNumerically(">", 2*service))
	g.Expect(long.estimate(now.Add(30*time.Second), service)).To(Equal(service))
}

// Guards against losing the difference between upstreams that are slow for good.
func TestSlowUpstreamIsToldFromTheService(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	const service = 20 * time.Millisecond
	var slow, alike upstreamServiceTime
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		slow.observe(now, 3*service)
		alike.observe(now, service*11/10)
	}
	g.Expect(slow.estimate(now, service)).To(BeNumerically(">", 3*service/2))
	g.Expect(alike.estimate(now, service)).To(Equal(service))
}
