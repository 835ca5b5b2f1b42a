package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/warmup"
)

const (
	coldRate  = 12
	coldBound = 23 // coldRate * 1.5 + 5
	coldStart = 3 * time.Second
	// warmGateways is the number of gateways in front of the same upstreams.
	warmGateways = 9
	// serviceTimeOfPlain is how long a plain upstream takes for a request.
	serviceTimeOfPlain = 20 * time.Millisecond
)

// warmFleet is several gateways in front of the same plain upstreams, u00 to u05 in domain
// d1 and u06 to u11 in domain d2.
type warmFleet struct {
	*GomegaWithT
	schedulers []*admission.Scheduler
	list       []registry.Upstream
	now        time.Time
	requests   int
	refused    int
	// sent holds the times of the requests sent to each upstream.
	sent map[fleet.UpstreamID][]time.Time
	// running holds the requests that end serviceTimeOfPlain after they were sent.
	running []runningRequest
}

type runningRequest struct {
	id        string
	scheduler *admission.Scheduler
	end       time.Time
}

func newWarmFleet(t *testing.T) *warmFleet {
	f := &warmFleet{GomegaWithT: NewWithT(t), list: upstreams(12), now: start, sent: make(map[fleet.UpstreamID][]time.Time)}
	for i := range f.list {
		f.list[i].StartedUnixMs = 1
		if i >= 6 {
			f.list[i].Domain = "d2"
		}
	}
	registered := make(map[fleet.NodeID]fleet.FailureDomainID)
	for i := range warmGateways {
		registered[fleet.NodeID(fmt.Sprint("g", i))] = fleet.FailureDomainID(fmt.Sprint("d", 1+i%2))
	}
	o := options()
	o.ColdOverage, o.ColdSlack = 1.5, 5
	for id, domain := range registered {
		members := warmup.NewMembers(warmup.MembersOptions{Self: id, Domain: domain, TTL: time.Hour})
		members.SetRegistered(start.Add(-time.Minute), registered)
		s := admission.NewScheduler(o, admission.Capacity{ColdStart: coldStart, ColdRate: coldRate})
		s.SetFleet(members.Fleet(o.Regions))
		s.SetUpstreams(f.list)
		f.schedulers = append(f.schedulers, s)
	}
	return f
}

// step advances the clock by 1 ms, ends the requests that are due, and sends one request
// through each of some gateways.
func (f *warmFleet) step(gateways int) {
	f.now = f.now.Add(time.Millisecond)
	for len(f.running) > 0 && !f.running[0].end.After(f.now) {
		f.running[0].scheduler.End(f.now, f.running[0].id, outlier.Success)
		f.running = f.running[1:]
	}
	for range gateways {
		f.requests++
		s := f.schedulers[f.requests%len(f.schedulers)]
		id := fmt.Sprint(f.requests)
		d := s.Admit(f.now, admission.Request{ID: id, Team: "team", Objective: 80 * time.Millisecond})
		if !d.Admitted {
			f.refused++
			f.Expect(d.RetryAfter).To(BeNumerically(">", 0))
			continue
		}
		f.sent[d.Upstream.ID] = append(f.sent[d.Upstream.ID], f.now)
		f.running = append(f.running, runningRequest{id: id, scheduler: s, end: f.now.Add(serviceTimeOfPlain)})
	}
}

// expectBound checks the requests that an upstream received between two times. It returns
// how many there were per second.
func (f *warmFleet) expectBound(id fleet.UpstreamID, from, to time.Time) float64 {
	var times []time.Time
	for _, at := range f.sent[id] {
		if !at.Before(from) && at.Before(to) {
			times = append(times, at)
		}
	}
	for i := range times {
		end := i
		for end < len(times) && times[end].Sub(times[i]) < time.Second {
			end++
		}
		f.Expect(end-i).To(BeNumerically("<=", coldBound), string(id))
	}
	return float64(len(times)) / to.Sub(from).Seconds()
}

// Guards against a failure domain being overrun when its upstreams return, cold, all at
// once under full load.
func TestReturningDomainIsWarmedUpUnderFullLoad(t *testing.T) {
	f := newWarmFleet(t)
	for range 1000 {
		f.step(3)
	}
	returned := f.now
	for _, s := range f.schedulers {
		s.MarkDomainsCold(f.now, []fleet.FailureDomainID{"d2"})
	}
	for range 2990 {
		f.step(3)
	}
	refusedWhileCold := f.refused
	for _, u := range f.list[6:] {
		f.Expect(f.expectBound(u.ID, returned, f.now)).To(BeNumerically(">=", 0.9*coldRate))
	}
	for range 1000 {
		f.step(3)
	}
	f.Expect(f.refused).To(Equal(refusedWhileCold), "all upstreams are warm again")
	f.Expect(len(f.sent["u06"])).To(BeNumerically(">", 300))
}

// Guards against a release that overruns each engine it replaces, and against refusals
// while the engines that are not replaced have room.
func TestReleaseReplacesUpstreamsOneAfterTheOther(t *testing.T) {
	f := newWarmFleet(t)
	replaced := make(map[fleet.UpstreamID]time.Time)
	r := registry.New(registry.Options{TombstoneTTL: time.Hour})
	for i := range f.list {
		for _, s := range f.schedulers {
			list := r.Usable(f.now)
			if i == 0 {
				list = f.list
			}
			s.SetUpstreams(list)
		}
		if i == 0 {
			for _, u := range f.list {
				r.Apply(f.now, registry.Entry{Upstream: u, Revision: 1})
			}
		}
		next := f.list[i]
		next.StartedUnixMs = 2
		replaced[next.ID] = f.now
		r.Apply(f.now, registry.Entry{Upstream: next, Revision: uint64(2 + i)})
		for _, s := range f.schedulers {
			s.SetUpstreams(r.Usable(f.now))
			s.MarkRegisteredCold(f.now)
		}
		for range 1000 {
			f.step(1)
		}
	}
	f.Expect(f.refused).To(BeZero())
	for id, at := range replaced {
		if to := at.Add(coldStart); !to.After(f.now) {
			f.expectBound(id, at, to)
		}
	}
	f.Expect(f.expectBound("u00", start, start.Add(coldStart))).To(BeNumerically(">=", 0.9*coldRate), "the cheapest upstream")
}

// Guards against sends to an upstream that restarts before the store says so, and against
// retries that ignore the pacer.
func TestEjectedUpstreamReturnsCold(t *testing.T) {
	f := newWarmFleet(t)
	sent := 0
	for _, s := range f.schedulers {
		s.SetUpstreams(f.list[:2])
		s.Unreachable(f.now, "u00")
		view := s.View(f.now).Upstreams["u00"].Cold
		f.Expect(view.Cause).To(Equal(warmup.Ejected))
		f.Expect(view.RemainingMs).To(BeEquivalentTo(4000))
		f.Expect(s.TakeColdPeriods()).To(HaveLen(1))
		retry := admission.Request{ID: "a/2", Team: "team", Objective: time.Second, Exclude: []fleet.UpstreamID{"u01"}}
		first := s.Admit(f.now, retry)
		if first.Admitted {
			sent++
			f.Expect(first.Cold).To(BeTrue())
		}
		retry.ID = "b/2"
		second := s.Admit(f.now, retry)
		f.Expect(second.Admitted).To(BeFalse())
		f.Expect(second.Reason).To(Equal(admission.Overloaded))
		f.Expect(second.PassedOver).To(Equal(1))
		if first.Admitted {
			f.Expect(second.RetryAfter).To(Equal(250 * time.Millisecond))
		} else {
			f.Expect(second.RetryAfter).To(Equal(4 * time.Second))
		}
	}
	f.Expect(sent).To(Equal(3))
}

// Guards against a registration of another writer keeping an upstream cold for long.
func TestRegisteredColdTimeIsBounded(t *testing.T) {
	f := newWarmFleet(t)
	f.list[0].ColdRemaining, f.list[0].ColdSince = time.Hour, start
	s := f.schedulers[0]
	s.SetUpstreams(f.list)
	s.MarkRegisteredCold(start.Add(time.Second))
	f.Expect(s.View(start.Add(time.Second)).Upstreams["u00"].Cold.RemainingMs).To(BeEquivalentTo(5000))
}

// Guards against a gateway that refuses all requests after its own network was cut: it has
// ejected every upstream, and none of them has restarted.
func TestGatewayThatEjectedMostUpstreamsUsesThem(t *testing.T) {
	f := newWarmFleet(t)
	s := f.schedulers[0]
	for _, u := range f.list {
		s.Unreachable(f.now, u.ID)
	}
	f.now = f.now.Add(options().Outlier.BaseEjection + coldStart/2)
	for i := range 10 {
		d := s.Admit(f.now, admission.Request{ID: fmt.Sprint("after-", i), Team: "team", Objective: 80 * time.Millisecond})
		f.Expect(d.Admitted).To(BeTrue())
	}
}

// Guards against requests beyond the bound to upstreams that state that they are cold, from
// gateways that have ejected most of them as well.
func TestEjectionOfMostUpstreamsKeepsTheBoundOfStatedColdPeriods(t *testing.T) {
	f := newWarmFleet(t)
	for _, s := range f.schedulers {
		for _, u := range f.list {
			s.MarkReportedCold(f.now, u.ID, coldStart)
			s.Unreachable(f.now, u.ID)
		}
	}
	for range 40 * warmGateways {
		f.step(1)
	}
	f.Expect(f.sent).NotTo(BeEmpty())
	for id := range f.sent {
		f.expectBound(id, start, start.Add(coldStart))
	}
}

// Guards against ejected upstreams that are no longer registered making this gateway take its
// network for broken, and so send without limit to the one that it has ejected since.
func TestRemovedUpstreamsDoNotCountAsEjected(t *testing.T) {
	f := newWarmFleet(t)
	sent := 0
	for _, s := range f.schedulers {
		for _, u := range f.list[:4] {
			s.Unreachable(f.now, u.ID)
		}
		s.SetUpstreams(f.list[4:9])
		s.Unreachable(f.now, "u04")
		d := s.Admit(f.now, admission.Request{ID: "a", Team: "team", Objective: time.Second, Exclude: []fleet.UpstreamID{"u05", "u06", "u07", "u08"}})
		if d.Admitted {
			sent++
		}
	}
	f.Expect(sent).To(Equal(3), "the senders of u04")
}
