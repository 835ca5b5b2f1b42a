package peer

import (
	"bufio"
	"bytes"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Guards against the head of a response, or its end, that is taken for a whole message although
// the stream between two processes stopped within it.
func TestMessageThatIsCutIsNoMessage(t *testing.T) {
	g := NewWithT(t)
	for _, frame := range []*peerpb.Frame{
		{Body: &peerpb.Frame_Head{Head: &peerpb.ResponseHead{Status: 200, Headers: []*peerpb.Header{{Name: "A", Values: []string{"b"}}}}}},
		{Body: &peerpb.Frame_End{End: &peerpb.End{BodyBytes: 300}}},
	} {
		encoded, err := appendMessage(nil, frame)
		g.Expect(err).NotTo(HaveOccurred())
		for length := range len(encoded) {
			err := readMessage(bufio.NewReader(bytes.NewReader(encoded[:length])), &peerpb.Frame{}, MaxFrameBytes)
			if length == 0 {
				g.Expect(err).To(MatchError(io.EOF))
				continue
			}
			g.Expect(err).To(MatchError(ErrMessage), "%d of %d bytes", length, len(encoded))
		}
	}
}
