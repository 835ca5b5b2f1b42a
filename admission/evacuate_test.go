package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// upstreamsInTwoDomains returns upstreams alternately in d1 and d2.
func upstreamsInTwoDomains(count int) []registry.Upstream {
	list := upstreams(count)
	for i := 1; i < count; i += 2 {
		list[i].Domain = "d2"
	}
	return list
}

func domainOf(d admission.Decision) fleet.FailureDomainID { return d.Upstream.Domain }

// Load scenario: a failure domain with half of the engines is evacuated during a burst and
// returns. Guards against sends to it, against late answers in the remaining domain and
// against leaving its engines idle.
func TestEvacuationDuringBurst(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 0)
	sim.scheduler.SetUpstreams(upstreamsInTwoDomains(4))
	const interval = 5 * time.Millisecond // 500,000 tokens/s for a capacity of 200,000, then 100,000.
	prompts := 0
	run := func(d time.Duration) (admitted map[fleet.FailureDomainID]int, late, refused int) {
		admitted = map[fleet.FailureDomainID]int{}
		for range d / interval {
			sim.advance(interval)
			prompts++
			decision, _ := sim.send(fleet.TeamID(fmt.Sprint("team-", prompts%8)), short(prompts))
			if !decision.Admitted {
				refused++
				sim.Expect(decision.RetryAfter).To(BeNumerically(">", 0))
				continue
			}
			admitted[domainOf(decision)]++
			if sim.idleAt[decision.Upstream.ID].Sub(sim.now)+overhead > objective {
				late++
			}
		}
		return admitted, late, refused
	}
	before, late, _ := run(5 * time.Second)
	sim.Expect(late).To(BeZero())
	sim.Expect(before["d2"]).To(BeNumerically(">", 150))

	sim.scheduler.SetEvacuated([]fleet.FailureDomainID{"d2"})
	during, late, refused := run(5 * time.Second)
	sim.Expect(late).To(BeZero())
	sim.Expect(during["d2"]).To(BeZero())
	sim.Expect(during["d1"]).To(BeNumerically(">", 150), "40 prompts/s for 5 s fit")
	sim.Expect(refused).To(BeNumerically(">", 700))
	for id, u := range sim.scheduler.View(sim.now).Upstreams {
		evacuated := id == "u01" || id == "u03"
		sim.Expect(u.Evacuated).To(Equal(evacuated))
		sim.Expect(u.CachedTokens).To(BeNumerically(">", 0), "the state of the caches is kept")
	}

	sim.scheduler.SetEvacuated(nil)
	sim.scheduler.MarkDomainsCold(sim.now, []fleet.FailureDomainID{"d2"})
	after, late, _ := run(5 * time.Second)
	sim.Expect(late).To(BeZero())
	sim.Expect(after["d2"]).To(BeNumerically(">", 150))
}

// Guards against counting idle engines of an evacuated domain as free capacity: a long
// prompt would then queue behind others at the busy engines that remain.
func TestEvacuatedEnginesDoNotCountAsIdle(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 0)
	list := upstreams(8)
	for i := range 6 {
		list[i].Domain = "d2"
	}
	sim.scheduler.SetUpstreams(list)
	sim.scheduler.SetEvacuated([]fleet.FailureDomainID{"d2"})
	for i := range 2 {
		d, _ := sim.send("team", placement.Prompt{{ID: uint64(i + 1), Tokens: 8000}})
		sim.Expect(d.Admitted).To(BeTrue())
	}
	// Each remaining engine has a queueing time of 160 ms. The limit of a long prompt is
	// 112 ms while the engines are busy, which they are from a mean of 56 ms on. The mean
	// over all eight engines is 40 ms.
	d, _ := sim.send("team", placement.Prompt{{ID: 9, Tokens: 40_000}})
	sim.Expect(d.Admitted).To(BeFalse())
	sim.Expect(d.Reason).To(Equal(admission.Overloaded))
}

// Guards against waiting or a vague refusal when nothing is left, for upstreams of each
// kind, and against upstreams that are registered or change domain during an evacuation.
func TestServiceWithAllDomainsEvacuatedRefusesAtOnce(t *testing.T) {
	for name, capacity := range map[string]admission.Capacity{"engines": engineCapacity(), "plain": {}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, options(), capacity, 0)
			sim.scheduler.SetEvacuated([]fleet.FailureDomainID{"d1", "d2"})
			list := upstreamsInTwoDomains(4)
			sim.scheduler.SetUpstreams(list)
			d, _ := sim.send("team", short(1))
			sim.Expect(d.Admitted).To(BeFalse())
			sim.Expect(d.Reason).To(Equal(admission.NoUpstream))
			sim.Expect(d.RetryAfter).To(BeNumerically(">", 0))
			list[1].Domain = "d3"
			sim.scheduler.SetUpstreams(list)
			d, _ = sim.send("team", short(2))
			sim.Expect(d.Upstream.ID).To(Equal(list[1].ID))
			// One evacuation ends while another one begins.
			sim.scheduler.SetEvacuated([]fleet.FailureDomainID{"d1", "d3"})
			d, _ = sim.send("team", short(3))
			sim.Expect(domainOf(d)).To(BeEquivalentTo("d2"))
		})
	}
}

// Guards against copying cached parts from an engine of an evacuated domain, and against
// sending a prompt there because it is cached there.
func TestNothingIsCopiedFromAnEvacuatedDomain(t *testing.T) {
	capacity := engineCapacity()
	capacity.TransferRate = 400_000
	sim := newSimulation(t, options(), capacity, 0)
	list := upstreamsInTwoDomains(2)
	sim.scheduler.SetUpstreams(list[1:])
	d, _ := sim.send("team", shared(7, 1))
	sim.Expect(domainOf(d)).To(BeEquivalentTo("d2"))
	sim.advance(time.Second)
	sim.scheduler.SetUpstreams(list)
	sim.scheduler.SetEvacuated([]fleet.FailureDomainID{"d2"})
	for i := range 5 {
		sim.advance(time.Second)
		d, _ = sim.send("team", shared(7, 2+i))
		sim.Expect(domainOf(d)).To(BeEquivalentTo("d1"))
		sim.Expect(d.CopyFrom).To(BeEmpty())
	}
}
