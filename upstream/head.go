package upstream

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes bounds an answer's head, and the interim answers before it
	// together.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds the lines of a head: a parsed field takes many times the
	// bytes of a short line.
	maxHeadLines = 256
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
	// headReadBytes is the size of a read while a head is awaited.
	headReadBytes = 4 << 10
)

// errHead reports bytes that are not the head of an answer, or too many of them.
var errHead = eris.New("upstream: not the head of an answer")

// protocolName is what every status line starts with.
var protocolName = []byte("HTTP/1.")

// awaitHead reads until the head of the next answer is whole. It reads no more than
// most bytes and a read beyond them, and returns errHead as soon as the bytes can't
// be such a head. It answers upstreams that send without end.
func (c *conn) awaitHead(most int) error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.ahead = slices.Concat(buffered, c.ahead)
	c.reader.Reset(c)
	var scan headScan
	for {
		if !bytes.HasPrefix(c.ahead, protocolName[:min(len(c.ahead), len(protocolName))]) {
			return eris.Wrap(errHead, "no status line")
		}
		whole := scan.next(c.ahead)
		if whole && scan.at <= most && scan.lines <= maxHeadLines {
			return nil
		}
		if whole || len(c.ahead) >= most || scan.lines > maxHeadLines {
			return eris.Wrapf(errHead, "over %d bytes or %d lines", most, maxHeadLines)
		}
		if err := c.readAhead(); err != nil {
			return err
		}
	}
}

// readAhead adds what arrives next to the bytes that are ahead.
func (c *conn) readAhead() error {
	c.ahead = slices.Grow(c.ahead, headReadBytes)
	held := len(c.ahead)
	n, err := c.Conn.Read(c.ahead[held : held+headReadBytes])
	c.ahead = c.ahead[:held+n]
	if n > 0 {
		return nil
	}
	return err
}

// Read returns what was read ahead, then what the connection has.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	if len(c.ahead) == 0 {
		c.ahead = nil
	}
	return n, nil
}

// headScan looks for the end of a head in bytes that grow. Each is looked at once but
// for those of a line that is not whole.
type headScan struct {
	// at is where the next line begins, or where the head ends.
	at    int
	lines int
}

// next goes on through b, and reports whether it has found the empty line that ends the
// head.
func (s *headScan) next(b []byte) bool {
	for {
		length := bytes.IndexByte(b[s.at:], '\n')
		if length < 0 {
			return false
		}
		line := b[s.at : s.at+length]
		s.at += length + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
		s.lines++
	}
}
