package peer

import (
	"bufio"
	"encoding/binary"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// Sizes of messages, in bytes.
const (
	// MaxControlBytes bounds a control message; a configuration snapshot is
	// the largest.
	MaxControlBytes = 8 << 20
	// MaxFrameBytes bounds a frame of a request stream.
	MaxFrameBytes = 1 << 20
	// ChunkBytes is the largest data frame that a sender produces.
	ChunkBytes = 32 << 10
)

// writeMessage writes m behind its length and returns the bytes written.
func writeMessage(w io.Writer, m proto.Message) (int, error) {
	buf, err := appendMessage(nil, m)
	if err != nil {
		return 0, err
	}
	n, err := w.Write(buf)
	if err != nil {
		return n, eris.Wrap(ErrClosed, err.Error())
	}
	return n, nil
}

// appendMessage appends m behind its length to buf.
func appendMessage(buf []byte, m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	buf = slices.Grow(buf, binary.MaxVarintLen32+size)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return buf, eris.Wrap(ErrMessage, err.Error())
	}
	return buf, nil
}

// readMessage reads one message of at most limit bytes into m. The end of the
// stream between two messages is io.EOF.
func readMessage(r *bufio.Reader, m proto.Message, limit int64) error {
	err := protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m)
	if err == nil {
		return nil
	}
	if eris.Is(err, io.EOF) {
		return io.EOF
	}
	return eris.Wrap(ErrMessage, err.Error())
}
