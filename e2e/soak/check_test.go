package soak

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return noon.Add(time.Duration(ms) * time.Millisecond) }

func TestOverspentFindsTheWindow(t *testing.T) {
	g := NewWithT(t)
	b := Budget{Ratio: 0.5, Slack: 1, Window: time.Second}
	asks := []Ask{{Service: "s", At: at(0)}, {Service: "s", At: at(100)}}
	arrivals := []Arrival{
		{Service: "s", Attempt: "1", At: at(0)}, {Service: "s", Attempt: "1", At: at(10)},
		{Service: "s", Attempt: "2", At: at(100)}, {Service: "s", Attempt: "2", At: at(110)},
	}
	g.Expect(b.Overspent("s", asks, arrivals)).To(BeEmpty(), "2 of 2 allowed")
	more := append(slices.Clone(arrivals), Arrival{Service: "s", Attempt: "2", At: at(900)})
	g.Expect(b.Overspent("s", asks, more)).To(ContainSubstring("3 retries"))
	later := append(slices.Clone(arrivals), Arrival{Service: "s", Attempt: "2", At: at(1010)})
	g.Expect(b.Overspent("s", asks, later)).To(BeEmpty(), "in the next window")
	g.Expect(b.Overspent("other", asks, more)).To(BeEmpty())
}

func TestOrderedTwiceAndFalseRefusal(t *testing.T) {
	g := NewWithT(t)
	ran := Arrival{Attempt: "1", Order: true, Ran: true}
	g.Expect(OrderedTwice([]Arrival{ran, {Attempt: "1", Order: true}})).To(BeEmpty())
	g.Expect(OrderedTwice([]Arrival{ran, ran})).NotTo(BeEmpty())
	g.Expect(FalseRefusal([]Ask{{Attempt: "1", Status: 503}}, []Arrival{ran})).NotTo(BeEmpty())
	g.Expect(FalseRefusal([]Ask{{Attempt: "1", Status: 502}}, []Arrival{ran})).To(BeEmpty())
}

func TestUnfairNeedsATeamThatWaitsAllThrough(t *testing.T) {
	g := NewWithT(t)
	var asks []Ask
	var arrivals []Arrival
	for ms := 0; ms < 6000; ms += 100 {
		asks = append(asks, Ask{Service: "m", Team: "little", At: at(ms), Ended: at(ms + 10), Status: 503, Tokens: 10, Objective: time.Second})
		asks = append(asks, Ask{Service: "m", Team: "much", At: at(ms), Ended: at(ms + 10), FirstByte: at(ms + 10), Status: 200, Tokens: 10, Objective: time.Second})
		arrivals = append(arrivals, Arrival{Service: "m", Team: "much", At: at(ms), Began: at(ms), Ran: true, Tokens: 10})
	}
	g.Expect(Unfair("m", asks, arrivals, noon, at(6000))).To(ContainSubstring("team little"))
	served := append([]Arrival{}, arrivals...)
	for ms := 0; ms < 3000; ms += 100 {
		served = append(served, Arrival{Service: "m", Team: "little", Began: at(ms), Ran: true, Tokens: 10})
	}
	g.Expect(Unfair("m", asks, served, noon, at(6000))).To(BeEmpty(), "half of the best")
	calm := append([]Ask{}, asks...)
	for i := range calm {
		if calm[i].Team == "little" && !calm[i].At.Before(at(2000)) && calm[i].At.Before(at(3100)) {
			calm[i].Status, calm[i].FirstByte = 200, calm[i].Ended
		}
	}
	g.Expect(Unfair("m", calm, arrivals, noon, at(6000))).To(BeEmpty(), "it had a second without waiting")
}
