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
	// maxInterimResponses bounds the interim answers before the final one.
	maxInterimResponses = 8
	// headReadBytes is the size of a read while a head is awaited.
	headReadBytes = 4 << 10
)

// errMalformedHead reports bytes that are not the head of an answer, or too many of them.
var errMalformedHead = eris.New("upstream: not the head of an answer")

// statusLinePrefix is what every status line starts with.
var statusLinePrefix = []byte("HTTP/1.")

// awaitHead reads until the head of the next answer is whole. It reads no more than
// most bytes and a read beyond them, and returns errHead as soon as the bytes can't
// be such a head. It answers upstreams that send without end.
func (c *conn) awaitHead(limit int) error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.prefetched = slices.Concat(buffered, c.prefetched)
	c.reader.Reset(c)
	var scan headScanner
	for {
		if !bytes.HasPrefix(c.prefetched, statusLinePrefix[:min(len(c.prefetched), len(statusLinePrefix))]) {
			return eris.Wrap(errMalformedHead, "no status line")
		}
		complete := scan.advance(c.prefetched)
		if complete && scan.offset <= limit && scan.lines <= maxHeadLines {
			return nil
		}
		if complete || len(c.prefetched) >= limit || scan.lines > maxHeadLines {
			return eris.Wrapf(errMalformedHead, "over %d bytes or %d lines", limit, maxHeadLines)
		}
		if err := c.prefetch(); err != nil {
			return err
		}
	}
}

// prefetch adds what arrives next to the bytes that are ahead.
func (c *conn) prefetch() error {
	c.prefetched = slices.Grow(c.prefetched, headReadBytes)
	held := len(c.prefetched)
	n, err := c.Conn.Read(c.prefetched[held : held+headReadBytes])
	c.prefetched = c.prefetched[:held+n]
	if n > 0 {
		return nil
	}
	return err
}

// Read returns what was read ahead, then what the connection has.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.prefetched) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefetched)
	c.prefetched = c.prefetched[n:]
	if len(c.prefetched) == 0 {
		c.prefetched = nil
	}
	return n, nil
}

// headScanner looks for the end of a head in bytes that grow. Each is looked at once but
// for those of a line that is not whole.
type headScanner struct {
	// offset is where the next line begins, or where the head ends.
	offset int
	lines  int
}

// advance goes on through b, and reports whether it has found the empty line that ends the
// head.
func (s *headScanner) advance(b []byte) bool {
	for {
		length := bytes.IndexByte(b[s.offset:], '\n')
		if length < 0 {
			return false
		}
		line := b[s.offset : s.offset+length]
		s.offset += length + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return true
		}
		s.lines++
	}
}
