package httpconn_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/httpconn"
)

// Guards against bodies that are read otherwise than they were sent, in any number of reads.
func TestBodiesAreReadAsTheyAre(t *testing.T) {
	reader := httpconn.NewBodyReader(1 << 20)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		want := bytes.Repeat([]byte{byte(rapid.IntRange(0, 255).Draw(t, "byte"))}, rapid.IntRange(0, 40<<10).Draw(t, "length"))
		source := io.Reader(bytes.NewReader(want))
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		if rapid.Bool().Draw(t, "end with data") {
			source = iotest.DataErrReader(source)
		}
		got, err := reader.ReadAll(source, len(want))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		if len(want) == 0 {
			return
		}
		_, err = reader.ReadAll(bytes.NewReader(want), len(want)-1)
		g.Expect(err).To(MatchError(httpconn.ErrBodyTooLong))
	})
}

// Guards against a body that is cut and taken for a whole one.
func TestBodyThatIsCutIsAnError(t *testing.T) {
	g := NewWithT(t)
	cut := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(io.ErrUnexpectedEOF))
	body, err := httpconn.NewBodyReader(1<<20).Read(cut, 1<<10)
	defer body.Release()
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(string(body.Bytes())).To(Equal("part"))
}

// Guards against long bodies that keep short ones from being read, and against memory that is
// not given back.
func TestLongBodiesLeaveRoomForShortOnes(t *testing.T) {
	g := NewWithT(t)
	const limit = 64 << 10
	reader := httpconn.NewBodyReader(limit)
	long := strings.Repeat("x", limit)
	for range 3 {
		held, err := reader.Read(strings.NewReader(long), limit)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = reader.ReadAll(strings.NewReader(long), limit)
		g.Expect(err).To(MatchError(httpconn.ErrBodiesTooLong))
		g.Expect(reader.ReadAll(strings.NewReader("short"), limit)).To(BeEquivalentTo("short"))
		held.Release()
	}
}
