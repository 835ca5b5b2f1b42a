package gateway

import (
	"math"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
)

// TestReportedLoadsStayWithinTheirBounds guards against sums of many routers that wrap around,
// or are left out by their receivers, so that the busiest upstream looks idle.
func TestReportedLoadsStayWithinTheirBounds(t *testing.T) {
	for _, c := range []struct{ value, want int }{{-1, 0}, {7, 7}, {math.MaxUint32 + 5, peer.MaxLoadRequests}} {
		load := admission.UpstreamLoad{Prefill: c.value, Running: c.value, Memory: c.value}
		wire := reportToWire("s", admission.Report{Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{"u": load}})
		g := NewWithT(t)
		g.Expect(wire.GetUpstreams()[0].GetRunning()).To(BeEquivalentTo(c.want))
		g.Expect(wire.GetUpstreams()[0].GetPrefill()).To(BeNumerically(">=", c.want))
		g.Expect(wire.GetUpstreams()[0].GetMemory()).To(BeNumerically("<=", peer.MaxLoadTokens))
	}
}
