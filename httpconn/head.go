package upstream

import (
	"bytes"
	"slices"

	"github.com/rotisserie/eris"
)

const (
	// maxHeadBytes limits the size of a response's head, together with the interim
	// responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines limits the number of lines of a head, because a parsed field
	// takes many times the memory of a short line.
	maxHeadLines = 256
	// maxInterimResponses limits the interim (1xx) responses before the final one.
	maxInterimResponses = 8
	// headReadBytes is the size of a read while waiting for a head.
	headReadBytes = 4 << 10
)

// errMalformedHead reports bytes that are not the head of a response, or a head over
// the limits.
var errMalformedHead = eris.New("upstream: malformed or oversized response head")

// statusLinePrefix is the prefix of every status line.
var statusLinePrefix = []byte("HTTP/1.")

// awaitHead reads until the head of the next response is complete. It reads at most
// limit bytes and one read beyond them, and returns errMalformedHead as soon as the
// bytes can't be a head within the limits. This bounds the memory that an upstream
// can take by sending an endless head.
func (c *conn) awaitHead(limit int) error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	c.prefetched = slices.Concat(buffered, c.prefetched)
	c.reader.Reset(c)
	var scanner headScanner
	for {
		if !bytes.HasPrefix(c.prefetched, statusLinePrefix[:min(len(c.prefetched), len(statusLinePrefix))]) {
			return eris.Wrap(errMalformedHead, "no HTTP/1 status line")
		}
		complete := scanner.advance(c.prefetched)
		if complete && scanner.offset <= limit && scanner.lines <= maxHeadLines {
			return nil
		}
		if complete || len(c.prefetched) >= limit || scanner.lines > maxHeadLines {
			return eris.Wrapf(errMalformedHead, "head exceeds %d bytes or %d lines", limit, maxHeadLines)
		}
		if err := c.prefetch(); err != nil {
			return err
		}
	}
}

// prefetch appends the result of one read to the prefetched bytes.
func (c *conn) prefetch() error {
	c.prefetched = slices.Grow(c.prefetched, headReadBytes)
	length := len(c.prefetched)
	n, err := c.Conn.Read(c.prefetched[length : length+headReadBytes])
	c.prefetched = c.prefetched[:length+n]
	if n > 0 {
		return nil
	}
	return err
}

// Read implements io.Reader. It returns the prefetched bytes first, then those of
// the connection.
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

// headScanner searches a growing buffer for the end of a head. It examines each byte
// once, except for those of an incomplete line.
type headScanner struct {
	// offset is the start of the next line, or the end of the head.
	offset int
	lines  int
}

// advance continues the scan of b and reports whether it has reached the empty line
// that ends the head.
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
