package eventstream_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// collectEvents returns the bytes and the ids of the buffered complete events.
func collectEvents(s *eventstream.Splitter) (raw []byte, ids []int64) {
	for {
		event, ok := s.Next()
		if !ok {
			return raw, ids
		}
		raw = append(raw, event.Raw...)
		if event.HasID {
			ids = append(ids, event.ID)
		}
	}
}

func TestEventsAreCompleteForAnyChunkSize(t *testing.T) {
	stream := []byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:30\ndata: x\ndata: y\n\nid: 4\ndata: cut")
	complete := stream[:bytes.LastIndex(stream, []byte("id: 4"))]
	for size := 1; size <= len(stream); size++ {
		g := NewWithT(t)
		var s eventstream.Splitter
		var raw []byte
		var ids []int64
		for remaining := stream; len(remaining) > 0; {
			n := min(size, len(remaining))
			g.Expect(s.Write(remaining[:n])).To(Succeed())
			remaining = remaining[n:]
			r, i := collectEvents(&s)
			raw, ids = append(raw, r...), append(ids, i...)
		}
		g.Expect(raw).To(Equal(complete))
		g.Expect(ids).To(Equal([]int64{1, 2, 30}))
		g.Expect(string(s.Pending())).To(Equal("id: 4\ndata: cut"))
	}
}

func TestNonNumericIDIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var s eventstream.Splitter
	g.Expect(s.Write([]byte("id: x\ndata: a\n\n"))).To(Succeed())
	event, ok := s.Next()
	g.Expect(ok).To(BeTrue())
	g.Expect(event.HasID).To(BeFalse())
}

func TestOversizedEventIsRejected(t *testing.T) {
	g := NewWithT(t)
	var s eventstream.Splitter
	chunk := bytes.Repeat([]byte("x"), 64<<10)
	var err error
	for range eventstream.MaxEventBytes/len(chunk) + 1 {
		if err = s.Write(chunk); err != nil {
			break
		}
	}
	g.Expect(err).To(MatchError(eventstream.ErrTooLong))
}

// FuzzSplitter checks that the events and the pending bytes add up to the stream.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Add([]byte("\r\n\r\n\n\n"), 1)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		if size < 1 || len(stream) > eventstream.MaxEventBytes {
			return
		}
		var s eventstream.Splitter
		var out []byte
		for remaining := stream; len(remaining) > 0; {
			n := min(size, len(remaining))
			if err := s.Write(remaining[:n]); err != nil {
				t.Fatal(err)
			}
			remaining = remaining[n:]
			raw, _ := collectEvents(&s)
			out = append(out, raw...)
		}
		if out = append(out, s.Pending()...); !bytes.Equal(out, stream) {
			t.Fatalf("got %q, want %q", out, stream)
		}
	})
}

// TestLineEnds guards against events that end early or never because of how their lines end,
// for any split into reads.
func TestLineEnds(t *testing.T) {
	for name, end := range map[string]string{"LF": "\n", "CR": "\r", "CRLF": "\r\n"} {
		t.Run(name, func(t *testing.T) {
			stream := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", "\n", end)
			for size := 1; size <= len(stream); size++ {
				g := NewWithT(t)
				var s eventstream.Splitter
				checker := eventstream.NewChecker(eventstream.Contract{Numbered: true})
				var raw []byte
				var ids []int64
				for rest := []byte(stream); len(rest) > 0; {
					n := min(size, len(rest))
					g.Expect(s.Write(rest[:n])).To(Succeed())
					rest = rest[n:]
					for event, ok := s.Next(); ok; event, ok = s.Next() {
						g.Expect(checker.Check(event)).To(Succeed(), "reads of %d bytes", size)
						raw = append(raw, event.Raw...)
						if event.HasID {
							ids = append(ids, event.ID)
						}
					}
				}
				g.Expect(string(raw)).To(Equal(stream))
				g.Expect(ids).To(Equal([]int64{1, 2}))
				g.Expect(s.Pending()).To(BeEmpty())
			}
		})
	}
}

// TestEventLimitDoesNotDependOnReads guards against a sound event below MaxEventBytes being
// rejected because the read that ends it holds the beginning of the next one, too.
func TestEventLimitDoesNotDependOnReads(t *testing.T) {
	g := NewWithT(t)
	var s eventstream.Splitter
	g.Expect(s.Write([]byte("id: 1\ndata: " + strings.Repeat("x", 50<<10)))).To(Succeed())
	_, complete := s.Next()
	g.Expect(complete).To(BeFalse())
	g.Expect(s.Write([]byte("\n\nid: 2\ndata: " + strings.Repeat("x", 15<<10)))).To(Succeed())
	event, complete := s.Next()
	g.Expect(complete).To(BeTrue())
	g.Expect(event.ID).To(BeEquivalentTo(1))
}

// TestEventsOverTheLimitAreRejectedInOneRead guards against an event over MaxEventBytes that is
// complete when it is first seen.
func TestEventsOverTheLimitAreRejectedInOneRead(t *testing.T) {
	g := NewWithT(t)
	var s eventstream.Splitter
	g.Expect(s.Write([]byte("id: 1\ndata: " + strings.Repeat("x", eventstream.MaxEventBytes) + "\n\n"))).To(Succeed())
	event, complete := s.Next()
	g.Expect(complete).To(BeTrue())
	g.Expect(eventstream.NewChecker(eventstream.Contract{}).Check(event)).To(MatchError(eventstream.ErrTooLong))
}
