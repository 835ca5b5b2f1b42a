package fleet_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

var _ = Describe("Health", func() {
	var (
		now    time.Time
		health *fleet.Health
	)

	BeforeEach(func() {
		now = time.Unix(1000, 0)
		health = fleet.NewHealth(fleet.HealthOptions{})
	})

	// probe runs the next probe with the given result. It returns the time until the probe
	// and the resulting actions.
	probe := func(ok bool) (time.Duration, []fleet.HealthAction) {
		wake, _ := health.NextWake()
		wait := max(0, wake.Sub(now))
		now = now.Add(wait)
		actions := health.Step(now, fleet.HealthTick{})
		Expect(actions).To(HaveLen(1))
		return wait, health.Step(now, fleet.ProbeDone{Seq: actions[0].(fleet.Probe).Seq, OK: ok})
	}

	It("starts down and comes up at the first success", func() {
		Expect(health.Up()).To(BeFalse())
		wait, actions := probe(true)
		Expect(wait).To(BeZero())
		Expect(actions).To(ConsistOf(fleet.BecameUp{}))
	})

	It("goes down only after consecutive failures, then backs off, and comes up at the first success", func() {
		probe(true)
		for range 2 {
			probe(false)
			probe(false)
			_, actions := probe(true)
			Expect(actions).To(BeEmpty())
		}
		probe(false)
		probe(false)
		_, actions := probe(false)
		Expect(actions).To(ConsistOf(fleet.BecameDown{}))
		var waits []time.Duration
		for range 5 {
			wait, _ := probe(false)
			waits = append(waits, wait)
		}
		second := time.Second
		Expect(waits).To(Equal([]time.Duration{second, 2 * second, 4 * second, 5 * second, 5 * second}))
		_, actions = probe(true)
		Expect(actions).To(ConsistOf(fleet.BecameUp{}))
	})

	It("counts failed requests and timed-out probes, and ignores late results", func() {
		probe(true)
		now = now.Add(time.Second)
		late := health.Step(now, fleet.HealthTick{})[0].(fleet.Probe)
		now = now.Add(fleet.DefaultProbeTimeout)
		Expect(health.Step(now, fleet.HealthTick{})).To(BeEmpty())
		Expect(health.Step(now, fleet.ProbeDone{Seq: late.Seq, OK: true})).To(BeEmpty())
		Expect(health.Step(now, fleet.RequestDone{})).To(BeEmpty())
		Expect(health.Step(now, fleet.RequestDone{})).To(ConsistOf(fleet.BecameDown{}))
	})
})
