package eventstream_test

import (
	"fmt"
	"strings"
	"testing"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// BenchmarkSplitter measures the cost per byte of splitting a stream of small events.
func BenchmarkSplitter(b *testing.B) {
	for _, size := range []int{64, 1024, 16 << 10} {
		b.Run(fmt.Sprintf("reads of %d bytes", size), func(b *testing.B) {
			var stream strings.Builder
			for id := 1; stream.Len() < 64<<10; id++ {
				fmt.Fprintf(&stream, "id: %d\ndata: %s\n\n", id, strings.Repeat("x", 50))
			}
			bytes := []byte(stream.String())
			b.SetBytes(int64(len(bytes)))
			b.ReportAllocs()
			for b.Loop() {
				splitStream(b, bytes, size)
			}
		})
	}
}

func splitStream(b *testing.B, stream []byte, size int) {
	var s eventstream.Splitter
	checker := eventstream.NewChecker(eventstream.Contract{Numbered: true})
	for rest := stream; len(rest) > 0; {
		n := min(size, len(rest))
		if err := s.Write(rest[:n]); err != nil {
			b.Fatal(err)
		}
		rest = rest[n:]
		for event, ok := s.Next(); ok; event, ok = s.Next() {
			if err := checker.Check(event); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// BenchmarkLongLineInSmallReads measures a line of nearly MaxEventBytes that arrives in reads of
// 16 bytes.
func BenchmarkLongLineInSmallReads(b *testing.B) {
	stream := []byte("id: 1\ndata: " + strings.Repeat("x", 63<<10) + "\n\n")
	b.SetBytes(int64(len(stream)))
	for b.Loop() {
		splitStream(b, stream, 16)
	}
}
