package slowcaller_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/slowcaller"
)

// hold is a call of Budget.Hold with the responses that it must abort.
type hold struct {
	id    slowcaller.ResponseID
	bytes int64
	want  []slowcaller.Abort
}

func TestAbortedResponses(t *testing.T) {
	cases := []struct {
		name  string
		holds []hold
		held  int64
	}{
		{"within both bounds", []hold{{1, 60, nil}, {2, 100, nil}, {3, 40, nil}}, 200},
		{"one response over its bound is aborted alone", []hold{
			{1, 90, nil}, {2, 60, nil}, {2, 41, []slowcaller.Abort{{ID: 2, Cause: slowcaller.CauseResponse, HeldBytes: 101}}},
		}, 90},
		{"over the total, the largest is aborted and not the one that grows", []hold{
			{1, 50, nil}, {2, 90, nil}, {3, 50, nil}, {3, 20, []slowcaller.Abort{{ID: 2, Cause: slowcaller.CauseTotal, HeldBytes: 90}}},
		}, 120},
		{"over the total, the one that grows is aborted if it is the largest", []hold{
			{1, 70, nil}, {2, 70, nil}, {3, 61, []slowcaller.Abort{{ID: 1, Cause: slowcaller.CauseTotal, HeldBytes: 70}}},
			{3, 39, nil}, {4, 31, []slowcaller.Abort{{ID: 3, Cause: slowcaller.CauseTotal, HeldBytes: 100}}},
		}, 101},
		{"of equal responses the oldest is aborted", []hold{
			{5, 100, nil}, {4, 100, nil}, {6, 1, []slowcaller.Abort{{ID: 4, Cause: slowcaller.CauseTotal, HeldBytes: 100}}},
		}, 101},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			b := slowcaller.NewBudget(slowcaller.Options{MaxResponseBytes: 100, MaxTotalBytes: 200})
			for _, h := range c.holds {
				g.Expect(b.Hold(h.id, h.bytes)).To(Equal(h.want))
			}
			g.Expect(b.HeldBytes()).To(Equal(c.held))
		})
	}
}

// TestReleaseAfterAnAbortIsIgnored guards against a total that falls below the bytes held
// when the driver reports bytes of a response that was aborted meanwhile.
func TestReleaseAfterAnAbortIsIgnored(t *testing.T) {
	g := NewWithT(t)
	b := slowcaller.NewBudget(slowcaller.Options{MaxResponseBytes: 100, MaxTotalBytes: 200})
	b.Hold(1, 50)
	g.Expect(b.Hold(2, 101)).To(HaveLen(1))
	b.Release(2, 101)
	b.End(2)
	g.Expect(b.HeldBytes()).To(BeEquivalentTo(50))
	g.Expect(b.Release(1, 20)).To(BeEquivalentTo(30))
	g.Expect(b.LargestBytes()).To(BeEquivalentTo(30))
	g.Expect(b.Release(1, 30)).To(BeZero())
	g.Expect(b.HeldBytes()).To(BeZero())
}

// TestBoundsHoldForAnySequence compares the budget with a plain count: both bounds hold
// after each call, and a response is aborted only if it holds most or is over its bound.
func TestBoundsHoldForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := slowcaller.Options{
			MaxResponseBytes: rapid.Int64Range(1, 200).Draw(t, "response"), MaxTotalBytes: rapid.Int64Range(1, 500).Draw(t, "total"),
		}
		b := slowcaller.NewBudget(options)
		model := map[slowcaller.ResponseID]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			id := slowcaller.ResponseID(rapid.IntRange(1, 8).Draw(t, "id"))
			bytes := rapid.Int64Range(1, 90).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "release") {
				b.Release(id, bytes)
				model[id] = max(0, model[id]-bytes)
			} else {
				model[id] += bytes
				checkAborts(t, options, model, b.Hold(id, bytes))
			}
			checkCounts(t, options, model, b)
		}
	})
}

// checkAborts checks each aborted response and removes it from the model.
func checkAborts(t *rapid.T, options slowcaller.Options, model map[slowcaller.ResponseID]int64, aborted []slowcaller.Abort) {
	for _, a := range aborted {
		if a.HeldBytes != model[a.ID] {
			t.Fatalf("aborted %v, which holds %d", a, model[a.ID])
		}
		for id, bytes := range model {
			if a.Cause == slowcaller.CauseTotal && bytes > a.HeldBytes {
				t.Fatalf("aborted %v while %d holds %d", a, id, bytes)
			}
		}
		if a.Cause == slowcaller.CauseResponse && a.HeldBytes <= options.MaxResponseBytes {
			t.Fatalf("aborted %v within its bound", a)
		}
		delete(model, a.ID)
	}
}

func checkCounts(t *rapid.T, options slowcaller.Options, model map[slowcaller.ResponseID]int64, b *slowcaller.Budget) {
	var total int64
	for _, bytes := range model {
		total += bytes
		if bytes > options.MaxResponseBytes {
			t.Fatalf("%d bytes held for one response", bytes)
		}
	}
	if total != b.HeldBytes() || total > options.MaxTotalBytes {
		t.Fatalf("%d bytes held, counted %d of %d", total, b.HeldBytes(), options.MaxTotalBytes)
	}
}
