package admission_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/registry"
)

// pause makes the first engines of a simulation ask for a pause.
func (sim *simulation) pause(engines int, length time.Duration) {
	for _, u := range upstreams(engines) {
		sim.scheduler.ObserveReport(sim.now, sim.now, u, exchange.SelfReport{Pause: length})
	}
}

// Guards, for the load of a service in which half of the engines ask for a pause, against requests
// to these, against more refusals than if they were not there, and against engines that stay unused
// after it.
func TestLoadOfPausedEnginesMovesToOthersAndBack(t *testing.T) {
	const engines, paused = 8, 4
	const length = 5 * time.Second
	for name, transferRate := range map[string]float64{"engines that copy": 400_000, "engines that do not": 0} {
		capacity := engineCapacity()
		capacity.TransferRate = transferRate
		sim := newSimulation(t, options(), capacity, engines)
		sim.pause(paused, length)
		refused, atPaused := sim.sendDuring(0, length, paused)
		sim.Expect(atPaused).To(BeZero(), name)
		alone := newSimulation(t, options(), capacity, engines-paused)
		refusedAlone, _ := alone.sendDuring(0, length, 0)
		sim.Expect(refused).To(BeNumerically("<=", refusedAlone), name)
		_, atPaused = sim.sendDuring(length, 2*length, paused)
		sim.Expect(atPaused).To(BeNumerically(">=", 50), "%s: a quarter of the requests with new prompts at least", name)
	}
}

// sendDuring sends 40 requests of 2,000 to 12,000 tokens a second from a time after the start to
// another, with prompts that it has not sent before. It returns how many are refused, and how many go to the first engines.
func (sim *simulation) sendDuring(from, to time.Duration, engines int) (refused, atFirst int) {
	const interval, topics = 25 * time.Millisecond, 20
	firstTopic := sim.requests
	for at := from; at < to; at += interval {
		sim.advance(start.Add(at).Sub(sim.now))
		d, _ := sim.send("team", shared(firstTopic+sim.requests%topics, sim.requests))
		if !d.Admitted {
			refused++
			continue
		}
		sim.scheduler.ObserveReport(sim.now, sim.now, d.Upstream, exchange.SelfReport{})
		if slices.ContainsFunc(upstreams(engines), func(u registry.Upstream) bool { return u.ID == d.Upstream.ID }) {
			atFirst++
		}
	}
	return refused, atFirst
}

// Guards against a refusal that tells callers to come back before an upstream takes them, or later
// than the first one does, where all have asked for pauses.
func TestRefusalNamesTheEndOfTheFirstPause(t *testing.T) {
	for name, capacity := range map[string]admission.Capacity{"engines": engineCapacity(), "plain": {}} {
		sim := newSimulation(t, options(), capacity, 3)
		sim.pause(3, 4*time.Second)
		sim.now = sim.now.Add(time.Second)
		sim.pause(2, 9*time.Second)
		d, _ := sim.send("team", short(1))
		sim.Expect(d.Admitted).To(BeFalse(), name)
		sim.Expect(d.Paused).To(Equal(3), name)
		sim.Expect(d.RetryAfter).To(Equal(3*time.Second), name)
	}
}

// Guards against a request that was admitted to an upstream which says, before it is sent, that it
// leaves or wants a pause.
func TestAdmittedRequestIsWithdrawnFromAnUpstreamThatTakesNoneAnyMore(t *testing.T) {
	for name, report := range map[string]exchange.SelfReport{"leaves": {Leaving: true}, "paused": {Pause: time.Second}} {
		sim := newSimulation(t, options(), admission.Capacity{}, 1)
		d, _ := sim.send("team", nil)
		sim.Expect(sim.scheduler.MaySend(sim.now, d.Upstream.ID)).To(BeTrue(), name)
		sim.scheduler.ObserveReport(sim.now, sim.now, d.Upstream, report)
		sim.Expect(sim.scheduler.MaySend(sim.now, d.Upstream.ID)).To(BeFalse(), name)
	}
}

// Guards, for the load of a roll in which all upstreams of a service leave at once, against requests
// to them, and against successors that get none.
func TestAllUpstreamsLeaveAtOnce(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 4)
	for _, u := range upstreams(4) {
		sim.scheduler.ObserveReport(sim.now, sim.now, u, exchange.SelfReport{Leaving: true})
	}
	d, _ := sim.send("team", short(1))
	sim.Expect(d.Admitted).To(BeFalse())
	sim.Expect(d.Reason).To(Equal(admission.NoUpstream))
	sim.Expect(d.RetryAfter).To(BeNumerically(">", 0))
	successors := upstreams(4)
	for i := range successors {
		successors[i].StartedUnixMs = sim.now.UnixMilli() + 1
	}
	sim.scheduler.SetUpstreams(successors)
	sim.scheduler.RegisterLimited(sim.now)
	for i := range 40 {
		sim.advance(50 * time.Millisecond)
		d, _ := sim.send("team", short(i+2))
		sim.Expect(d.Admitted).To(BeTrue())
	}
}

// BenchmarkObserveReport measures what the reports of upstreams add to each request.
func BenchmarkObserveReport(b *testing.B) {
	scheduler := admission.NewScheduler(options(), engineCapacity())
	list := upstreams(12)
	scheduler.SetUpstreams(list)
	b.ReportAllocs()
	for i := range b.N {
		u := list[i%len(list)]
		if scheduler.MaySend(start, u.ID) {
			scheduler.ObserveReport(start, start, u, exchange.SelfReport{})
		}
	}
}
