package soak

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against inserted bytes that can't be told from an event of the stream, which no gateway
// could keep from its caller, and against draws that leave out a kind or a place.
func TestInsertedBytesAreNoEventOfTheStream(t *testing.T) {
	g := NewWithT(t)
	const last = 4
	n := newInsertions(1)
	seen := map[string]bool{}
	for i := range 10_000 {
		first := i % last
		inserted, _ := n.draw(first, last)
		if inserted == nil {
			continue
		}
		g.Expect(inserted.before).To(And(BeNumerically(">", first), BeNumerically("<=", last+1)))
		var body strings.Builder
		for id := 1; id <= last; id++ {
			body.WriteString(inserted.pieceWith(id, streamPiece(id, "m-0", "1")))
		}
		if inserted.before == last+1 {
			body.WriteString(inserted.bytes)
		}
		requests := []Request{{AttemptID: "1", Status: 200, Body: []byte(body.String()), Pieces: last}}
		runs := []Arrival{{AttemptID: "1", Server: "m-0", Started: true, LastPiece: last}}
		g.Expect(AnswerViolation(requests, runs)).NotTo(BeEmpty(), "%q", body.String())
		g.Expect(inserted.within && inserted.bytes == insertedData).To(BeFalse(), "a part of the event's data")
		seen[inserted.bytes] = true
		switch {
		case inserted.within:
			seen["within"] = true
		case inserted.before == last+1:
			seen["after"] = true
		case inserted.before == 1:
			seen["before"] = true
		}
	}
	for _, want := range append(insertedBytes[:len(insertedBytes)-1:len(insertedBytes)-1], "within", "after", "before", "id: 1\n"+insertedData) {
		g.Expect(seen).To(HaveKey(want))
	}
}

// Guards against draws that a seed does not repeat.
func TestInsertionsOfASeedAreTheSame(t *testing.T) {
	a, b := newInsertions(7), newInsertions(7)
	for range 100 {
		insertedA, closedA := a.draw(0, 4)
		insertedB, closedB := b.draw(0, 4)
		NewWithT(t).Expect(insertedB).To(Equal(insertedA))
		NewWithT(t).Expect(closedB).To(Equal(closedA))
	}
}
