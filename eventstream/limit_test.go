package eventstream_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// TestEventsBelowTheLimitAreNeverTooLong guards against sound events that are refused because
// the read that completes them has bytes of the next ones, too.
func TestEventsBelowTheLimitAreNeverTooLong(t *testing.T) {
	for _, size := range []int{1, 10_000, 30_000, 49_000, eventstream.MaxEventBytes - 16} {
		stream := bytes.Repeat([]byte("data: "+string(bytes.Repeat([]byte("x"), size))+"\n\n"), 3)
		for _, read := range []int{16 << 10, 32 << 10, 64 << 10} {
			g := NewWithT(t)
			var s eventstream.Splitter
			var relayed []byte
			for rest := stream; len(rest) > 0; {
				n := min(read, len(rest))
				g.Expect(s.Write(rest[:n])).To(Succeed(), "events of %d bytes, reads of %d", size, read)
				rest = rest[n:]
				raw, _ := collectEvents(&s)
				relayed = append(relayed, raw...)
			}
			g.Expect(bytes.Equal(relayed, stream)).To(BeTrue())
		}
	}
}
