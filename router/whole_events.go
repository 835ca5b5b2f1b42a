package router

import (
	"mime"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// maxHeldEventBytes limits the bytes of an incomplete event that are held back. Sidecars send no
// longer ones.
const maxHeldEventBytes = 8 << 20

// wholeEvents holds the bytes of an incomplete event of a stream back, so that an interrupted
// stream can be resumed between two events: a sidecar checks the events of a resumed stream from
// its first byte on. The events themselves are checked by the sidecar. A nil wholeEvents holds
// nothing back.
type wholeEvents struct {
	splitter eventstream.Splitter
}

// newWholeEvents returns nil unless the response is an event stream.
func newWholeEvents(head *peerpb.ResponseHead) *wholeEvents {
	for _, h := range head.GetHeaders() {
		if h.GetName() != "Content-Type" || len(h.GetValues()) == 0 {
			continue
		}
		if mediaType, _, err := mime.ParseMediaType(h.GetValues()[0]); err == nil && mediaType == "text/event-stream" {
			return &wholeEvents{splitter: eventstream.Splitter{Limit: maxHeldEventBytes}}
		}
	}
	return nil
}

// next adds bytes of the stream and returns those that may be passed on.
func (e *wholeEvents) next(p []byte) []byte {
	if e == nil {
		return p
	}
	if e.splitter.Write(p) != nil {
		// The event is too long to be held back.
		out := append(e.rest(), p...)
		e.splitter = eventstream.Splitter{Limit: maxHeldEventBytes}
		return out
	}
	var out []byte
	for event, ok := e.splitter.Next(); ok; event, ok = e.splitter.Next() {
		out = append(out, event.Raw...)
	}
	return out
}

// rest returns the bytes that are held back.
func (e *wholeEvents) rest() []byte {
	if e == nil {
		return nil
	}
	return append([]byte(nil), e.splitter.Pending()...)
}
