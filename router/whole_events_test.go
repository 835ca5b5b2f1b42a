package router

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

func streamHead(contentType string) *peerpb.ResponseHead {
	return &peerpb.ResponseHead{Status: 200, Headers: []*peerpb.Header{{Name: "Content-Type", Values: []string{contentType}}}}
}

// TestStreamsAreResumableBetweenEvents guards against an offset within an event when a session
// ends between two frames of it: the sidecar that resumes the stream would take the rest of the
// event for bytes that are none, and break the stream off.
func TestStreamsAreResumableBetweenEvents(t *testing.T) {
	g := NewWithT(t)
	events := []string{"data: a\n\n", "data: " + strings.Repeat("x", 80<<10) + "\n\n", ": c\r\n\r\n", "data: [DONE]\n\n"}
	stream := []byte(strings.Join(events, ""))
	boundaries := map[int]bool{0: true}
	for i := range events {
		end := len(strings.Join(events[:i+1], ""))
		boundaries[end] = true
		if strings.HasSuffix(events[i], "\r\n") {
			// An event ends with the carriage return; a line feed that follows is a block of
			// its own.
			boundaries[end-1] = true
		}
	}
	for _, frame := range []int{1, 7, 1000, 32 << 10} {
		held := newWholeEvents(streamHead("text/event-stream; charset=utf-8"))
		var passed bytes.Buffer
		for rest := stream; len(rest) > 0; {
			n := min(frame, len(rest))
			passed.Write(held.next(rest[:n]))
			rest = rest[n:]
			g.Expect(boundaries[passed.Len()]).To(BeTrue(), "frames of %d bytes", frame)
		}
		g.Expect(passed.Bytes()).To(Equal(stream))
		g.Expect(held.rest()).To(BeEmpty())
	}
}

// TestOtherBodiesAreNotHeldBack guards against bytes of other responses, or of events that are
// too long, that are held back or lost.
func TestOtherBodiesAreNotHeldBack(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newWholeEvents(streamHead("application/json")).next([]byte("data"))).To(Equal([]byte("data")))
	held := newWholeEvents(streamHead("text/event-stream"))
	sent := 0
	passed := 0
	chunk := bytes.Repeat([]byte("x"), 1<<20)
	for range 12 {
		sent += len(chunk)
		passed += len(held.next(chunk))
	}
	g.Expect(passed + len(held.rest())).To(Equal(sent))
	g.Expect(len(held.rest())).To(BeNumerically("<=", maxHeldEventBytes))
}
