// Package eventstream splits the bytes of a text/event-stream response into events.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxEventBytes limits the size of an event.
const MaxEventBytes = 64 << 10

// ErrTooLong reports an event over MaxEventBytes.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is one complete event.
type Event struct {
	// Raw holds the event's bytes, including the empty line that ends it. It is
	// valid until the next call to the splitter.
	Raw []byte
	// ID is the value of the event's id field, or zero if it has no numeric one.
	ID int64
	// HasID reports whether the event has a numeric id field.
	HasID bool
}

// Splitter buffers the bytes of a stream and returns complete events.
type Splitter struct {
	buf []byte
	// consumed is the number of bytes of buf that were returned as events.
	consumed int
}

// Write appends bytes of the stream. It returns ErrTooLong, and drops p, if the
// buffered bytes would exceed MaxEventBytes.
func (s *Splitter) Write(p []byte) error {
	if s.consumed > 0 {
		s.buf = append(s.buf[:0], s.buf[s.consumed:]...)
		s.consumed = 0
	}
	if len(s.buf)+len(p) > MaxEventBytes {
		return ErrTooLong
	}
	s.buf = append(s.buf, p...)
	return nil
}

// Next returns the next complete event and reports whether there is one.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buf[s.consumed:]
	end := eventEnd(rest)
	if end < 0 {
		return Event{}, false
	}
	s.consumed += end
	event := Event{Raw: rest[:end]}
	event.ID, event.HasID = parseID(event.Raw)
	return event, true
}

// Pending returns the buffered bytes that follow the last returned event.
func (s *Splitter) Pending() []byte { return s.buf[s.consumed:] }

// eventEnd returns the length of the first event, including its empty line, or -1 if
// it is incomplete.
func eventEnd(b []byte) int {
	end := -1
	for _, separator := range [...]string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(separator)); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
}

// lineEnd returns the length of the first line and the offset behind its end, which is a
// line feed, a carriage return or both. The offset is -1 if the line is incomplete.
func lineEnd(b []byte) (length, end int) {
	length = bytes.IndexAny(b, "\r\n")
	switch {
	case length < 0:
		return len(b), -1
	case b[length] == '\r' && length+1 < len(b) && b[length+1] == '\n':
		return length, length + 2
	default:
		return length, length + 1
	}
}

func parseID(raw []byte) (int64, bool) {
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
