package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// rate is the simulated engines' prefill rate in tokens per second.
	rate      = 50_000
	overhead  = 50 * time.Millisecond
	objective = 600 * time.Millisecond
)

var start = time.Unix(1000, 0)

func options() admission.Options {
	return admission.Options{
		Local:    fleet.Location{Region: "r1", FailureDomain: "d1"},
		Regions:  map[fleet.FailureDomainID]fleet.RegionID{"d1": "r1", "d2": "r2"},
		Replicas: 2, PrefillRate: rate, Overhead: overhead, AttentionTokens: 1e9,
		MaxWait: 0.75, OverShareWait: 0.35, ReturnWait: 0.9, SlotLimit: 1, MemoryLimit: 0.7,
		Window: 4 * time.Second, PeerTTL: time.Second,
		Outlier: outlier.Options{BaseEjection: time.Second, MaxEjection: 8 * time.Second, ConsecutiveBroken: 2, Smoothing: 0.1},
	}
}

func engineCapacity() admission.Capacity {
	return admission.Capacity{Slots: 64, MemoryTokens: 500_000}
}

// simulation drives a scheduler with simulated engines that prefill prompts in order of
// arrival.
type simulation struct {
	*GomegaWithT
	scheduler *admission.Scheduler
	now       time.Time
	// requests counts the requests sent.
	requests int
	// idleAt is the time at which each engine has prefilled all prompts sent to it.
	idleAt map[fleet.UpstreamID]time.Time
	// pendingEvents holds the first events that are not delivered yet.
	pendingEvents []firstEvent
}

type firstEvent struct {
	id string
	at time.Time
}

func newSimulation(t *testing.T, o admission.Options, c admission.Capacity, count int) *simulation {
	sim := &simulation{GomegaWithT: NewWithT(t), scheduler: admission.NewScheduler(o, c), now: start, idleAt: map[fleet.UpstreamID]time.Time{}}
	sim.scheduler.SetUpstreams(upstreams(count))
	return sim
}

func upstreams(count int) []registry.Upstream {
	var list []registry.Upstream
	for i := range count {
		list = append(list, registry.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("u%02d", i)), Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: "d1", Slots: 6,
		})
	}
	return list
}

// advance advances the clock by d and delivers the first events due by then. Each delivered
// request also ends successfully.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	var later []firstEvent
	for _, event := range sim.pendingEvents {
		if event.at.After(sim.now) {
			later = append(later, event)
			continue
		}
		sim.scheduler.FirstEvent(event.at, event.id)
		sim.scheduler.End(event.at, event.id, outlier.Success)
	}
	sim.pendingEvents = later
}

// send requests admission for a team and, if admitted, schedules the first event.
func (sim *simulation) send(team fleet.TeamID, prompt placement.Prompt) (admission.Decision, string) {
	return sim.sendWithin(fleet.RegionSet{}, team, prompt)
}

// sendWithin is send for a request with home regions.
func (sim *simulation) sendWithin(regions fleet.RegionSet, team fleet.TeamID, prompt placement.Prompt) (admission.Decision, string) {
	sim.requests++
	id := fmt.Sprint("request-", sim.requests)
	d := sim.scheduler.Admit(sim.now, admission.Request{
		ID: id, Team: team, Prompt: prompt, OutputTokens: 50, Objective: objective, Regions: regions,
	})
	if d.Admitted {
		begin := sim.idleAt[d.Upstream.ID]
		if begin.Before(sim.now) {
			begin = sim.now
		}
		end := begin.Add(time.Duration(float64(d.Prefill) / rate * float64(time.Second)))
		sim.idleAt[d.Upstream.ID] = end
		sim.pendingEvents = append(sim.pendingEvents, firstEvent{id: id, at: end.Add(overhead)})
	}
	return d, id
}

// cloneIdleAt returns a copy of idleAt for cancelBeforePrefill.
func (sim *simulation) cloneIdleAt() map[fleet.UpstreamID]time.Time { return maps.Clone(sim.idleAt) }

// cancelBeforePrefill cancels a request that its engine has not prefilled and restores
// idleAt from before the request was sent.
func (sim *simulation) cancelBeforePrefill(id string, idleAt map[fleet.UpstreamID]time.Time) {
	sim.idleAt = idleAt
	sim.pendingEvents = slices.DeleteFunc(sim.pendingEvents, func(e firstEvent) bool { return e.id == id })
	sim.scheduler.Cancel(sim.now, id)
}

// shared returns a prompt with a long shared part and a short unshared part.
func shared(topic, own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(topic), Tokens: 10_000}, {ID: uint64(1_000_000 + own), Tokens: 2000}}
}

// short returns a short prompt without shared parts, which any engine may serve.
func short(own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(2_000_000 + own), Tokens: 2500}}
}
