package eventstream_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// Guards against events that are lost or changed when the splitter gets other memory, wherever
// the bytes so far end.
func TestMovedSplitterReturnsTheSameEvents(t *testing.T) {
	const stream = "\uFEFFid: 1\r\ndata: a\r\n\r\n: c\r\rid: 2\ndata: b\ndata: c\n\ndata: \r\n\r\nretry: 5\n\n"
	events := func(moveAt int) (out []string) {
		var s eventstream.Splitter
		for i := range len(stream) {
			if i == moveAt {
				s.MoveTo(make([]byte, 0, len(stream)))
			}
			NewWithT(t).Expect(s.Write([]byte{stream[i]})).To(Succeed())
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				out = append(out, string(e.Raw))
			}
		}
		return append(out, string(s.Pending()))
	}
	want := events(len(stream))
	for at := range len(stream) {
		NewWithT(t).Expect(events(at)).To(Equal(want), "moved at %d", at)
	}
}
