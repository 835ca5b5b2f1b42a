package soak

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a check that passes bytes that no run made, pieces out of order, or a stream
// that ends early and looks complete.
func TestAnswerViolationOfAStream(t *testing.T) {
	piece := func(id int) string { return streamPiece(id, "m-0", "1") }
	resumed := streamPiece(3, "m-1", "1")
	runs := []Arrival{
		{AttemptID: "1", Server: "m-0", Started: true, LastPiece: 2},
		{AttemptID: "1", Server: "m-1", Started: true, ResumedAfter: 2, LastPiece: 3},
	}
	for _, c := range []struct {
		name, body string
		status     int
		broken     bool
	}{
		{"resumed", piece(1) + piece(2) + resumed, 200, false},
		{"broken off", piece(1) + piece(2), 0, false},
		{"broken off within a piece", piece(1) + piece(2)[:4], 0, false},
		{"complete too early", piece(1) + piece(2), 200, true},
		{"complete without a piece", "", 200, true},
		{"complete within a piece", piece(1) + piece(2) + resumed[:4], 200, true},
		{"a piece that was not made", piece(1) + piece(2) + piece(3), 0, true},
		{"a piece of another request", streamPiece(1, "m-0", "2"), 0, true},
		{"a piece that is missing", piece(2), 0, true},
		{"a piece that is repeated", piece(1) + piece(1), 0, true},
		{"inserted text", piece(1) + "garbage\n\n" + piece(2), 0, true},
		{"inserted text at the end", piece(1) + "garbage", 0, true},
		{"inserted text within a piece", "id: 1\ngarbage\n" + piece(1)[6:], 0, true},
	} {
		requests := []Request{{AttemptID: "1", Status: c.status, Body: []byte(c.body), Pieces: 3}}
		NewWithT(t).Expect(AnswerViolation(requests, runs) != "").To(Equal(c.broken), c.name)
	}
}

// Guards against a check that passes the answer to another request.
func TestAnswerViolationOfAPlainResponse(t *testing.T) {
	for body, broken := range map[string]bool{plainAnswer("1"): false, plainAnswer("2"): true, "": true} {
		requests := []Request{{AttemptID: "1", Status: 200, Body: []byte(body)}}
		NewWithT(t).Expect(AnswerViolation(requests, nil) != "").To(Equal(broken), body)
	}
}
