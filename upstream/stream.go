package upstream

import (
	"mime"
	"net/http"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

// maxEventBytes limits the memory that an incomplete event of a stream takes. Events with
// images or whole tool calls have megabytes.
const maxEventBytes = 8 << 20

// isEventStream reports whether the body of a response is an event stream.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && header.Get("Content-Encoding") == ""
}

// eventRelay passes the events of one stream on as soon as each is complete and found sound. A
// resumed stream begins between two events, because only whole ones were passed on before.
type eventRelay struct {
	sink     Sink
	splitter eventstream.Splitter
	checker  *eventstream.Checker
}

// data processes bytes of the stream. After an unsound block it returns ErrUnsound; neither the
// block nor what follows is passed on.
func (r *eventRelay) data(p []byte) error {
	if err := r.splitter.Write(p); err != nil {
		return eris.Wrap(ErrUnsound, err.Error())
	}
	var events []byte
	var unsound error
	for event, ok := r.splitter.Next(); ok; event, ok = r.splitter.Next() {
		if unsound = r.checker.Check(event); unsound != nil {
			break
		}
		events = append(events, event.Raw...)
	}
	if len(events) > 0 {
		if err := r.sink.Data(events); err != nil {
			return err
		}
	}
	if unsound != nil {
		return eris.Wrap(ErrUnsound, unsound.Error())
	}
	return nil
}

// end returns ErrInterrupted if the stream ended within an event, which was not passed on.
func (r *eventRelay) end() error {
	if len(r.splitter.Pending()) > 0 {
		return eris.Wrap(ErrInterrupted, "stream ended within an event")
	}
	return nil
}
