package peer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Stream is the stream of one request. One goroutine may read while another writes.
type Stream struct {
	conn       net.Conn
	r          *bufio.Reader
	regionPair string
	// frameCounter is the key of the stream's frames in dataSentBytes.
	frameCounter string
}

const streamReadBuffer = 4 << 10

func newStream(conn net.Conn, regionPair string) *Stream {
	return &Stream{conn: conn, r: bufio.NewReaderSize(conn, streamReadBuffer), regionPair: regionPair, frameCounter: "frame/" + regionPair}
}

// SendOpen sends the StreamOpen message, the first of the stream.
func (s *Stream) SendOpen(open *peerpb.StreamOpen) error {
	n, err := writeMessage(s.conn, open)
	dataSentBytes.Add("open/"+s.regionPair, int64(n))
	return err
}

// ReceiveOpen reads the StreamOpen message, the first of the stream.
func (s *Stream) ReceiveOpen() (*peerpb.StreamOpen, error) {
	open := &peerpb.StreamOpen{}
	if err := readMessage(s.r, open, MaxFrameBytes); err != nil {
		return nil, err
	}
	return open, nil
}

// Send writes one frame.
func (s *Stream) Send(f *peerpb.Frame) error {
	n, err := writeMessage(s.conn, f)
	dataSentBytes.Add(s.frameCounter, int64(n))
	return err
}

// SendData writes p as data frames of at most ChunkBytes.
func (s *Stream) SendData(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), ChunkBytes)
		if err := s.Send(&peerpb.Frame{Body: &peerpb.Frame_Data{Data: p[:n]}}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// SendEnd writes the End frame.
func (s *Stream) SendEnd(end *peerpb.End) error {
	return s.Send(&peerpb.Frame{Body: &peerpb.Frame_End{End: end}})
}

// Receive reads one frame. It returns ErrTruncated if the stream ends before the frame.
func (s *Stream) Receive() (*peerpb.Frame, error) {
	f := &peerpb.Frame{}
	err := readMessage(s.r, f, MaxFrameBytes)
	if errors.Is(err, io.EOF) {
		return nil, eris.Wrap(ErrTruncated, "end frame missing")
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ReceiveBody reads data frames up to the End frame and returns the body. It fails if the
// body exceeds limit bytes or if its length differs from the length in the End frame.
func (s *Stream) ReceiveBody(limit uint64) ([]byte, error) {
	var body []byte
	for {
		f, err := s.Receive()
		if err != nil {
			return nil, err
		}
		switch b := f.Body.(type) {
		case *peerpb.Frame_Data:
			if uint64(len(body)+len(b.Data)) > limit {
				return nil, eris.Wrapf(ErrMessage, "body exceeds %d bytes", limit)
			}
			body = append(body, b.Data...)
		case *peerpb.Frame_End:
			if b.End.GetBodyBytes() != uint64(len(body)) {
				return nil, eris.Wrapf(ErrTruncated, "got %d of %d bytes", len(body), b.End.GetBodyBytes())
			}
			return body, nil
		default:
			return nil, eris.Wrap(ErrMessage, "unexpected frame in a body")
		}
	}
}

// WaitClosed blocks until the peer closes the stream or sends further data.
func (s *Stream) WaitClosed() {
	_, _ = s.r.ReadByte()
}

// SetDeadline sets the deadline of all reads and writes.
func (s *Stream) SetDeadline(t time.Time) error {
	return s.conn.SetDeadline(t)
}

// SetWriteDeadline sets the deadline of all writes.
func (s *Stream) SetWriteDeadline(t time.Time) error {
	return s.conn.SetWriteDeadline(t)
}

// Close closes the stream in both directions.
func (s *Stream) Close() error {
	return s.conn.Close()
}
