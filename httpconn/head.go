package httpconn

import (
	"bytes"
	"net/http"
	"slices"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
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

// statusLinePrefix is the prefix of every status line.
var statusLinePrefix = []byte("HTTP/1.")

// ReadResponse reads the head of the next response that is not an interim (1xx) one, to a
// request with the given method. Its errors are ErrMalformedHead and those of the connection.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	remaining := maxHeadBytes
	for range maxInterimResponses + 1 {
		length, err := c.awaitNextHead(remaining)
		if err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, eris.Wrap(ErrMalformedHead, err.Error())
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		remaining -= length
	}
	return nil, eris.Wrapf(ErrMalformedHead, "more than %d interim responses", maxInterimResponses)
}

// awaitNextHead is awaitHead for the bytes that follow those read from c.reader.
func (c *Conn) awaitNextHead(limit int) (int, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return 0, err
	}
	c.prefetched = slices.Concat(buffered, c.prefetched)
	c.reader.Reset(c)
	return c.awaitHead(limit)
}

// awaitHead reads until the prefetched bytes begin with a complete head, and returns its
// length. It reads at most limit bytes and one read beyond them, and returns
// ErrMalformedHead as soon as the bytes can't be a head within the limits. This bounds the
// memory that a server can take by sending an endless head.
func (c *Conn) awaitHead(limit int) (int, error) {
	var scanner headScanner
	for {
		if !bytes.HasPrefix(c.prefetched, statusLinePrefix[:min(len(c.prefetched), len(statusLinePrefix))]) {
			return 0, eris.Wrap(ErrMalformedHead, "no HTTP/1 status line")
		}
		complete, err := scanner.advance(c.prefetched)
		if err != nil {
			return 0, err
		}
		if complete && scanner.offset <= limit && scanner.lines <= maxHeadLines {
			return scanner.offset, nil
		}
		if complete || len(c.prefetched) >= limit || scanner.lines > maxHeadLines {
			return 0, eris.Wrapf(ErrMalformedHead, "head exceeds %d bytes or %d lines", limit, maxHeadLines)
		}
		if err := c.prefetch(limit); err != nil {
			return 0, err
		}
	}
}

// prefetch appends the result of one read to the prefetched bytes, of which there are fewer than
// limit. What one read does not hold is given all its memory at once: a buffer that grows in steps
// leaves several times its size behind.
func (c *Conn) prefetch(limit int) error {
	length := len(c.prefetched)
	if length < headReadBytes {
		c.prefetched = slices.Grow(c.prefetched, headReadBytes)
	} else {
		c.prefetched = slices.Grow(c.prefetched, limit+headReadBytes-length)
	}
	n, err := c.Conn.Read(c.prefetched[length : length+headReadBytes])
	c.prefetched = c.prefetched[:length+n]
	if n > 0 {
		return nil
	}
	return err
}

// headScanner searches a growing buffer for the end of a head, and checks its lines. It examines
// each byte once, except for those of an incomplete line.
type headScanner struct {
	// offset is the start of the next line, or the end of the head.
	offset int
	lines  int
}

// advance continues the scan of b and reports whether it has reached the empty line
// that ends the head. Its error is ErrMalformedHead.
func (s *headScanner) advance(b []byte) (complete bool, err error) {
	for {
		length := bytes.IndexByte(b[s.offset:], '\n')
		if length < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(b[s.offset:s.offset+length], []byte("\r"))
		s.offset += length + 1
		if len(line) == 0 {
			return true, nil
		}
		if s.lines == 0 && !hasStatus(line) {
			return false, eris.Wrap(ErrMalformedHead, "no status")
		}
		if s.lines > 0 && !isField(line) {
			return false, eris.Wrapf(ErrMalformedHead, "line %d is no field", s.lines)
		}
		s.lines++
	}
}

// statusCode returns the status of the status line that begins a head.
func statusCode(head []byte) []byte {
	line, _, _ := bytes.Cut(head, []byte("\n"))
	_, rest, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	return code
}

// hasStatus reports whether a status line has a status of three digits, the first of them not zero.
// net/http takes any number of three characters for one.
func hasStatus(line []byte) bool {
	code := statusCode(line)
	if len(code) != 3 || code[0] == '0' {
		return false
	}
	return !bytes.ContainsFunc(code, func(r rune) bool { return r < '0' || r > '9' })
}

// blanks are the bytes that may stand around the value of a field, and begin a line that goes on
// with the value of the line before.
const blanks = " \t"

// isField reports whether a line of a head, after the first one, is a field with a sound name or
// goes on with the value of one. Readers don't agree on the meaning of others: some drop the blank
// in a name, and so take a field for one of framing that net/http passes on. The same holds for a
// line that would be a field but for the blanks that it begins with.
func isField(line []byte) bool {
	value := bytes.TrimLeft(line, blanks)
	name, _, found := bytes.Cut(value, []byte(":"))
	if len(value) < len(line) {
		name = bytes.TrimRight(name, blanks)
		return !found || len(name) > 0 && !httpguts.ValidHeaderFieldName(string(name))
	}
	return found && httpguts.ValidHeaderFieldName(string(name))
}
