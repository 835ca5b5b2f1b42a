// Package eventstream cuts the bytes of a text/event-stream answer into whole
// events.
package eventstream

import (
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 64 << 10

// ErrTooLong reports an event over MaxEventBytes.
var ErrTooLong = eris.New("eventstream: event too long")

// Event is one whole event.
type Event struct {
	// Raw is the event's bytes with the empty line that ends it. It is valid
	// until the next call to the splitter.
	Raw []byte
	// ID is the value of its id field; zero without one.
	ID int64
	// HasID is set if the event has a numeric id field.
	HasID bool
}

// Splitter collects bytes and returns whole events.
type Splitter struct {
	buf []byte
	// consumed is the length of what was returned as events.
	consumed int
}

// Write adds bytes of the stream. It returns ErrTooLong if the pending event is
// over the limit.
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

// Next returns the next whole event.
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

// Pending returns the bytes that are not a whole event yet.
func (s *Splitter) Pending() []byte { return s.buf[s.consumed:] }

// eventEnd returns the length of the first event with its empty line, or -1.
func eventEnd(b []byte) int {
	end := -1
	for _, separator := range [...]string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(b, []byte(separator)); i >= 0 && (end < 0 || i+len(separator) < end) {
			end = i + len(separator)
		}
	}
	return end
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
