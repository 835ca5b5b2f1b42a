package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// homeSimulation returns a simulation whose upstreams are in failure domains d1, d2 and d9
// in turn. The region of d9 is not known.
func homeSimulation(t *testing.T, c admission.Capacity, count int) *simulation {
	sim := newSimulation(t, options(), c, 0)
	sim.scheduler.SetUpstreams(upstreamsIn(count, "d1", "d2", "d9"))
	return sim
}

func upstreamsIn(count int, domains ...fleet.FailureDomainID) []registry.Upstream {
	list := upstreams(count)
	for i := range list {
		list[i].Domain = domains[i%len(domains)]
	}
	return list
}

func home(regions ...fleet.RegionID) fleet.RegionSet { return fleet.NewRegionSet(regions) }

// Guards against sending a request outside its home regions or copying its cached parts
// from there, whatever the load, the caches, the ejections and the earlier attempts.
func TestRequestsStayInTheirHomeRegions(t *testing.T) {
	for name, capacity := range map[string]admission.Capacity{
		"plain":   {Connections: 20},
		"engines": {Slots: 8, MemoryTokens: 60_000, TransferRate: 400_000},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { checkAttempts(t, capacity) })
		})
	}
}

// checkAttempts sends requests with random home regions and checks where they go.
func checkAttempts(t *rapid.T, capacity admission.Capacity) {
	list := upstreamsIn(9, "d1", "d2", "d9")
	s := admission.NewScheduler(options(), capacity)
	s.SetUpstreams(list)
	domains := map[string]fleet.FailureDomainID{}
	for _, u := range list {
		domains[u.Address] = u.Domain
	}
	now := start
	for i := range 40 {
		now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
		r := drawRequest(t, i)
		d := s.Admit(now, r)
		if !d.Admitted {
			continue
		}
		for _, address := range []string{d.Upstream.Address, d.CopyFrom} {
			if address != "" && !r.Regions.Contains(options().Regions[domains[address]]) {
				t.Fatalf("home %v: sent to %s, copied from %q", r.Regions, d.Upstream.ID, d.CopyFrom)
			}
		}
		if rapid.Bool().Draw(t, "ends") {
			s.End(now, r.ID, rapid.SampledFrom([]outlier.Outcome{outlier.Success, outlier.Unreachable}).Draw(t, "outcome"))
		}
	}
}

func drawRequest(t *rapid.T, i int) admission.Request {
	names := rapid.SliceOfN(rapid.SampledFrom([]fleet.RegionID{"r1", "r2", "r3"}), 0, 2).Draw(t, "home")
	r := admission.Request{
		ID: fmt.Sprint("request-", i), Team: "team", Objective: objective,
		Prompt: shared(rapid.IntRange(0, 5).Draw(t, "topic"), i), Regions: home(names...),
	}
	if rapid.Bool().Draw(t, "retry") {
		r.Exclude = []fleet.UpstreamID{"u00", "u01"}
	}
	return r
}

func TestRequestWithoutUpstreamInItsHomeRegionsIsRefused(t *testing.T) {
	sim := homeSimulation(t, admission.Capacity{}, 4) // d1, d2, d9, d1.
	for name, c := range map[string]struct {
		regions fleet.RegionSet
		exclude []fleet.UpstreamID
		reason  admission.Reason
	}{
		"empty intersection":      {home("r1").Intersect(home("r2")), nil, admission.NoHomeRegion},
		"unknown name":            {home("r9"), nil, admission.NoHomeRegion},
		"domain without region":   {home(""), nil, admission.NoHomeRegion},
		"the only one was tried":  {home("r2"), []fleet.UpstreamID{"u01"}, admission.NoUpstream},
		"upstream in home region": {home("r1"), []fleet.UpstreamID{"u00"}, ""},
		"no home region":          {fleet.RegionSet{}, nil, ""},
	} {
		d := sim.scheduler.Admit(sim.now, admission.Request{ID: name, Team: "team", Objective: objective, Regions: c.regions, Exclude: c.exclude})
		sim.Expect(d.Reason).To(Equal(c.reason), name)
		sim.Expect(d.Admitted).To(Equal(c.reason == ""), name)
		sim.Expect(d.RetryAfter > 0).To(Equal(c.reason != ""), name)
	}
}

// Guards against judging by the idle engines of other regions how busy the engines of the
// home region are: a second engine must not prefill a shared part while these are busy.
func TestBusyEnginesAreThoseOfTheHomeRegions(t *testing.T) {
	sim := newSimulation(t, options(), engineCapacity(), 0)
	sim.scheduler.SetUpstreams(upstreamsIn(12, "d1", "d2", "d2", "d2"))
	admit := func(id string) admission.Decision {
		return sim.scheduler.Admit(sim.now, admission.Request{
			ID: id, Team: "team", Objective: objective, Regions: home("r1"),
			Prompt: placement.Prompt{{ID: 1, Tokens: 10_000}, {ID: 2, Tokens: 100}},
		})
	}
	first := admit("first")
	sim.Expect(first.Admitted).To(BeTrue())
	// The engine with the shared part has 0.5 s of work, over the limit of 0.45 s. The mean
	// is 0.17 s over the three engines of the home region and 0.04 s over all engines, and
	// engines are busy from 0.056 s on.
	sim.scheduler.ApplyPeerReport(sim.now, "other", admission.Report{
		Full: true, Upstreams: map[fleet.UpstreamID]admission.UpstreamLoad{first.Upstream.ID: {Prefill: 15_000, Running: 1}},
	})
	sim.Expect(admit("second").Reason).To(Equal(admission.Overloaded))
}
