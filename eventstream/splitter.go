// Package eventstream splits the bytes of a text/event-stream response into events and
// checks that they are events. The format is that of WHATWG HTML, section 9.2.
package eventstream

import (
	"bytes"
	"cmp"

	"github.com/rotisserie/eris"
)

// MaxEventBytes limits the size of an event unless a splitter has another limit.
const MaxEventBytes = 64 << 10

// ErrTooLong reports an event over the splitter's limit.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is a complete block of a stream: an event, or lines that dispatch none, such as
// comments.
type Event struct {
	// Raw holds the event's bytes, including the empty line that ends it. It is
	// valid until the next call to the splitter.
	Raw []byte
	// ID is the value of the event's id field, or zero if it has no numeric one.
	ID int64
	// HasID reports whether the event has a numeric id field.
	HasID bool

	fields fields
}

// Splitter buffers the bytes of a stream and returns complete events.
type Splitter struct {
	// Limit is the size of the longest event in bytes; zero stands for MaxEventBytes.
	Limit int

	buf []byte
	// consumed is the number of bytes of buf that were returned as events, and scanned the
	// number of those whose lines are in fields. The bytes between scanned and searched hold
	// no line end.
	consumed int
	scanned  int
	searched int
	fields   fields
	// begun is set once the first line was read.
	begun bool
	// afterReturn is set if the buffer ended with a carriage return: a line feed that
	// follows belongs to the same line end.
	afterReturn bool
}

// Write appends bytes of the stream, after Next has returned the complete events before
// them. It returns ErrTooLong, and drops p, if an incomplete event takes the whole limit
// already. What completes an event may be read together with bytes of the next ones, so
// these don't count.
func (s *Splitter) Write(p []byte) error {
	if s.consumed > 0 {
		s.buf = append(s.buf[:0], s.buf[s.consumed:]...)
		s.scanned -= s.consumed
		s.searched -= s.consumed
		s.consumed = 0
	}
	if len(s.buf) >= s.limit() {
		return ErrTooLong
	}
	s.buf = append(s.buf, p...)
	return nil
}

func (s *Splitter) limit() int { return cmp.Or(s.Limit, MaxEventBytes) }

// Next returns the next complete event and reports whether there is one.
func (s *Splitter) Next() (Event, bool) {
	if s.skipLineFeed() && s.scanned == s.consumed+1 {
		return s.take(), true
	}
	for {
		line, end := s.nextLine()
		if end < 0 {
			return Event{}, false
		}
		s.scanned += end
		if len(line) == 0 {
			return s.take(), true
		}
		s.fields.add(line)
	}
}

// skipLineFeed completes a line end of which only the carriage return was buffered before,
// and reports whether its line feed followed.
func (s *Splitter) skipLineFeed() bool {
	if !s.afterReturn || s.scanned == len(s.buf) {
		return false
	}
	s.afterReturn = false
	if s.buf[s.scanned] != '\n' {
		return false
	}
	s.scanned++
	return true
}

// nextLine returns the next line without its end, and the offset behind that end from
// scanned; a negative offset if the line is incomplete.
func (s *Splitter) nextLine() (line []byte, end int) {
	s.searched = max(s.searched, s.scanned)
	rest := s.buf[s.scanned:]
	before := s.searched - s.scanned
	length, end := lineEnd(rest[before:])
	if end < 0 {
		s.searched = len(s.buf)
		return nil, end
	}
	length, end = length+before, end+before
	s.afterReturn = end == len(rest) && rest[end-1] == '\r'
	line = rest[:length]
	if !s.begun {
		line = bytes.TrimPrefix(line, byteOrderMark)
		s.begun = true
	}
	return line, end
}

// take returns the scanned bytes as an event.
func (s *Splitter) take() Event {
	event := Event{Raw: s.buf[s.consumed:s.scanned], ID: s.fields.id, HasID: s.fields.hasID, fields: s.fields}
	event.fields.tooLong = len(event.Raw) > s.limit()
	s.consumed = s.scanned
	s.fields = fields{}
	return event
}

// MoveTo moves the pending bytes to buf, which the splitter writes to from now on. buf has room for
// them. The last returned event becomes invalid.
func (s *Splitter) MoveTo(buf []byte) {
	pending := s.Pending()
	s.buf = buf[:len(pending)]
	copy(s.buf, pending)
	s.scanned -= s.consumed
	s.searched -= s.consumed
	s.consumed = 0
}

// TrimByteOrderMark returns the bytes of an event without the mark that may begin a stream,
// for a stream that continues another one.
func TrimByteOrderMark(raw []byte) []byte { return bytes.TrimPrefix(raw, byteOrderMark) }

// Pending returns the buffered bytes that follow the last returned event.
func (s *Splitter) Pending() []byte { return s.buf[s.consumed:] }

// lineEnd returns the length of the first line and the offset behind its end, which is a
// line feed, a carriage return or both. The offset is -1 if the line is incomplete.
func lineEnd(b []byte) (length, end int) {
	length = bytes.IndexByte(b, '\n')
	if length >= 0 {
		b = b[:length+1]
	}
	if feed := bytes.IndexByte(b, '\r'); feed >= 0 {
		length = feed
	}
	switch {
	case length < 0:
		return 0, -1
	case b[length] == '\r' && length+1 < len(b) && b[length+1] == '\n':
		return length, length + 2
	default:
		return length, length + 1
	}
}
