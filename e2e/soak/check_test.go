package soak

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func TestRetryBudgetViolationOfAWindow(t *testing.T) {
	g := NewWithT(t)
	b := RetryBudget{Ratio: 0.5, Slack: 1, Window: time.Second}
	requests := []Request{{Service: "s", SentAt: at(0)}, {Service: "s", SentAt: at(100)}}
	arrivals := []Arrival{
		{Service: "s", AttemptID: "1", ReceivedAt: at(0)}, {Service: "s", AttemptID: "1", ReceivedAt: at(10)},
		{Service: "s", AttemptID: "2", ReceivedAt: at(100)}, {Service: "s", AttemptID: "2", ReceivedAt: at(110)},
	}
	g.Expect(b.Violation("s", requests, arrivals)).To(BeEmpty(), "2 of 2 allowed")
	third := append(slices.Clone(arrivals), Arrival{Service: "s", AttemptID: "2", ReceivedAt: at(900)})
	g.Expect(b.Violation("s", requests, third)).To(ContainSubstring("3 retries"))
	nextWindow := append(slices.Clone(arrivals), Arrival{Service: "s", AttemptID: "2", ReceivedAt: at(1010)})
	g.Expect(b.Violation("s", requests, nextWindow)).To(BeEmpty(), "in the next window")
	g.Expect(b.Violation("other", requests, third)).To(BeEmpty())
}

func TestDuplicateExecutionAndFalseRefusal(t *testing.T) {
	g := NewWithT(t)
	started := Arrival{AttemptID: "1", NonIdempotent: true, Started: true}
	g.Expect(DuplicateExecution([]Arrival{started, {AttemptID: "1", NonIdempotent: true}})).To(BeEmpty())
	g.Expect(DuplicateExecution([]Arrival{started, started})).NotTo(BeEmpty())
	g.Expect(FalseRefusal([]Request{{AttemptID: "1", Status: 503}}, []Arrival{started})).NotTo(BeEmpty())
	g.Expect(FalseRefusal([]Request{{AttemptID: "1", Status: 502}}, []Arrival{started})).To(BeEmpty())
}

func TestFairnessViolationNeedsADelayInEverySecond(t *testing.T) {
	g := NewWithT(t)
	var requests []Request
	var arrivals []Arrival
	for ms := 0; ms < 6000; ms += 100 {
		requests = append(requests, Request{Service: "m", Team: "little", SentAt: at(ms), EndedAt: at(ms + 10), Status: 503, Cost: 10, Objective: time.Second})
		requests = append(requests, Request{Service: "m", Team: "much", SentAt: at(ms), EndedAt: at(ms + 10), FirstByteAt: at(ms + 10), Status: 200, Cost: 10, Objective: time.Second})
		arrivals = append(arrivals, Arrival{Service: "m", Team: "much", ReceivedAt: at(ms), StartedAt: at(ms), Started: true, Cost: 10})
	}
	g.Expect(FairnessViolation("m", requests, arrivals, noon, at(6000))).To(ContainSubstring("team little"))
	served := append([]Arrival{}, arrivals...)
	for ms := 0; ms < 3000; ms += 100 {
		served = append(served, Arrival{Service: "m", Team: "little", StartedAt: at(ms), Started: true, Cost: 10})
	}
	g.Expect(FairnessViolation("m", requests, served, noon, at(6000))).To(BeEmpty(), "half of the best")
	intermittent := append([]Request{}, requests...)
	for i := range intermittent {
		if intermittent[i].Team == "little" && !intermittent[i].SentAt.Before(at(2000)) && intermittent[i].SentAt.Before(at(3100)) {
			intermittent[i].Status, intermittent[i].FirstByteAt = 200, intermittent[i].EndedAt
		}
	}
	g.Expect(FairnessViolation("m", intermittent, arrivals, noon, at(6000))).To(BeEmpty(), "it had a second without waiting")
}
