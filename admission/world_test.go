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
	// rate is the prompt tokens that the tests' engines read in a second.
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

// world drives a scheduler over engines that read prompts in order of arrival.
type world struct {
	*GomegaWithT
	s   *admission.Scheduler
	now time.Time
	n   int
	// free is when each engine has read what it was sent.
	free map[fleet.UpstreamID]time.Time
	// due holds the first events to come.
	due []firstEvent
}

type firstEvent struct {
	id string
	at time.Time
}

func newWorld(t *testing.T, o admission.Options, c admission.Capacity, count int) *world {
	w := &world{GomegaWithT: NewWithT(t), s: admission.NewScheduler(o, c), now: start, free: map[fleet.UpstreamID]time.Time{}}
	w.s.SetUpstreams(upstreams(count))
	return w
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

// pass moves the time on and delivers the first events until then.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	var later []firstEvent
	for _, event := range w.due {
		if event.at.After(w.now) {
			later = append(later, event)
			continue
		}
		w.s.FirstEvent(event.at, event.id)
		w.s.End(event.at, event.id, outlier.Success)
	}
	w.due = later
}

// ask sends a request of a team and lets the engine read it.
func (w *world) ask(team fleet.TeamID, prompt placement.Prompt) (admission.Decision, string) {
	w.n++
	id := fmt.Sprint("request-", w.n)
	d := w.s.Admit(w.now, admission.Request{ID: id, Team: team, Prompt: prompt, OutputTokens: 50, Objective: objective})
	if d.Admitted {
		begin := w.free[d.Upstream.ID]
		if begin.Before(w.now) {
			begin = w.now
		}
		end := begin.Add(time.Duration(float64(d.Prefill) / rate * float64(time.Second)))
		w.free[d.Upstream.ID] = end
		w.due = append(w.due, firstEvent{id: id, at: end.Add(overhead)})
	}
	return d, id
}

// copyFree returns when each engine has read what it was sent.
func (w *world) copyFree() map[fleet.UpstreamID]time.Time { return maps.Clone(w.free) }

// take cancels a request that was not sent: its engine did not read it.
func (w *world) take(id string, free map[fleet.UpstreamID]time.Time) {
	w.free = free
	w.due = slices.DeleteFunc(w.due, func(e firstEvent) bool { return e.id == id })
	w.s.Cancel(w.now, id)
}

// shared returns a prompt with long shared parts and a short own one.
func shared(topic, own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(topic), Tokens: 10_000}, {ID: uint64(1_000_000 + own), Tokens: 2000}}
}

// short returns a prompt that any engine may read.
func short(own int) placement.Prompt {
	return placement.Prompt{{ID: uint64(2_000_000 + own), Tokens: 2500}}
}
