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

// Message size limits in bytes.
const (
	// MaxControlBytes limits a control message. Configuration snapshots are the
	// largest ones.
	MaxControlBytes = 8 << 20
	// MaxFrameBytes limits a frame of a request stream.
	MaxFrameBytes = 1 << 20
	// ChunkBytes limits the payload of the data frames that a sender produces.
	ChunkBytes = 32 << 10
)

// writeMessage writes m with its length prefix and returns the number of bytes
// written.
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

// appendMessage appends m with its length prefix to buf.
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

// readMessage reads one length-prefixed message of at most limit bytes into m. It
// returns io.EOF if the stream ends between two messages.
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
