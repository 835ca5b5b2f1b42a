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

// Pattern: plain upstreams, some of which fail part of their requests.
func TestPlainRequestsGoToFreeAndHealthyUpstreams(t *testing.T) {
	w := newWorld(t, options(), admission.Capacity{}, 3)
	counts := map[fleet.UpstreamID]int{}
	for i := range 300 {
		id := fmt.Sprint("plain-", i)
		d := w.s.Admit(w.now, admission.Request{ID: id, Objective: 200 * time.Millisecond})
		w.Expect(d.Admitted).To(BeTrue())
		counts[d.Upstream.ID]++
		w.now = w.now.Add(30 * time.Millisecond)
		outcome := outlier.Success
		if d.Upstream.ID == "u00" {
			outcome = outlier.Failure
		}
		w.s.End(w.now, id, outcome)
	}
	w.Expect(counts["u00"]).To(BeNumerically("<", 20))
}

func TestPlainRequestsSpreadOverUpstreams(t *testing.T) {
	w := newWorld(t, options(), admission.Capacity{}, 3)
	counts := map[fleet.UpstreamID]int{}
	for i := range 9 {
		d := w.s.Admit(w.now, admission.Request{ID: fmt.Sprint("plain-", i), Objective: 200 * time.Millisecond})
		counts[d.Upstream.ID]++
	}
	w.Expect(counts).To(HaveLen(3))
	for _, n := range counts {
		w.Expect(n).To(Equal(3))
	}
}

func TestPlainUpstreamsConnectionsAreBounded(t *testing.T) {
	w := newWorld(t, options(), admission.Capacity{Connections: 10}, 1)
	admitted := 0
	for i := range 20 {
		d := w.s.Admit(w.now, admission.Request{ID: fmt.Sprint("plain-", i), Objective: time.Minute})
		if d.Admitted {
			admitted++
		}
	}
	w.Expect(admitted).To(Equal(9))
}
