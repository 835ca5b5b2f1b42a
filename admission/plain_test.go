package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
)

// Guards against sending requests evenly to plain upstreams when one of them fails.
func TestPlainRequestsGoToFreeAndHealthyUpstreams(t *testing.T) {
	sim := newSimulation(t, options(), admission.Capacity{}, 3)
	counts := map[fleet.UpstreamID]int{}
	for i := range 300 {
		id := fmt.Sprint("plain-", i)
		d := sim.scheduler.Admit(sim.now, admission.Request{ID: id, Objective: 200 * time.Millisecond})
		sim.Expect(d.Admitted).To(BeTrue())
		counts[d.Upstream.ID]++
		sim.now = sim.now.Add(30 * time.Millisecond)
		outcome := outlier.Success
		if d.Upstream.ID == "u00" {
			outcome = outlier.Failure
		}
		sim.scheduler.End(sim.now, id, outcome)
	}
	sim.Expect(counts["u00"]).To(BeNumerically("<", 20))
}

func TestPlainRequestsSpreadOverUpstreams(t *testing.T) {
	sim := newSimulation(t, options(), admission.Capacity{}, 3)
	counts := map[fleet.UpstreamID]int{}
	for i := range 9 {
		d := sim.scheduler.Admit(sim.now, admission.Request{ID: fmt.Sprint("plain-", i), Objective: 200 * time.Millisecond})
		counts[d.Upstream.ID]++
	}
	sim.Expect(counts).To(HaveLen(3))
	for _, n := range counts {
		sim.Expect(n).To(Equal(3))
	}
}

// Guards against sending requests evenly to plain upstreams of two speeds, and against
// telling upstreams apart by noise.
func TestPlainRequestsGoToFasterUpstreams(t *testing.T) {
	sim := newSimulation(t, options(), admission.Capacity{}, 3)
	times := map[fleet.UpstreamID]time.Duration{"u00": 70 * time.Millisecond, "u01": 30 * time.Millisecond, "u02": 36 * time.Millisecond}
	counts := map[fleet.UpstreamID]int{}
	for i := range 300 {
		id := fmt.Sprint("plain-", i)
		d := sim.scheduler.Admit(sim.now, admission.Request{ID: id, Objective: 200 * time.Millisecond, Exclude: exclude(i)})
		sim.now = sim.now.Add(times[d.Upstream.ID])
		sim.scheduler.End(sim.now, id, outlier.Success)
		counts[d.Upstream.ID]++
	}
	view := sim.scheduler.View(sim.now).Upstreams
	sim.Expect(view["u00"].ServiceTimeMs).To(BeNumerically(">", 1.2*view["u01"].ServiceTimeMs))
	sim.Expect(view["u02"].ServiceTimeMs).To(BeNumerically("==", view["u01"].ServiceTimeMs))
	sim.Expect(counts["u00"]).To(BeNumerically("<", 60))
}

// exclude has the first requests try each upstream.
func exclude(i int) []fleet.UpstreamID {
	all := []fleet.UpstreamID{"u00", "u01", "u02"}
	if i >= 90 {
		return nil
	}
	return append(all[:i%3:i%3], all[i%3+1:]...)
}

func TestPlainUpstreamsConnectionsAreBounded(t *testing.T) {
	sim := newSimulation(t, options(), admission.Capacity{Connections: 10}, 1)
	admitted := 0
	for i := range 20 {
		d := sim.scheduler.Admit(sim.now, admission.Request{ID: fmt.Sprint("plain-", i), Objective: time.Minute})
		if d.Admitted {
			admitted++
		}
	}
	sim.Expect(admitted).To(Equal(9))
}
