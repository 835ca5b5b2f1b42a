package upstream

import (
	"context"
	"mime"
	"net/http"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
)

const (
	// maxEventBytes limits the memory that an incomplete event of a stream takes. Events with
	// images or whole tool calls have megabytes.
	maxEventBytes = 8 << 20
	// maxShortEventBytes is what each stream may hold of an incomplete event at any time.
	maxShortEventBytes = 16 << 10
	// streamReadBytes is the size of a read of a stream, whose events are short as a rule.
	streamReadBytes = 8 << 10
)

// longEventBuffer holds the memory for the incomplete event of one stream at a time that takes
// more than maxShortEventBytes, so that events without end take it once only. It holds nil until
// it is used.
var longEventBuffer = func() chan []byte {
	out := make(chan []byte, 1)
	out <- nil
	return out
}()

// isEventStream reports whether the body of a response is an event stream.
func isEventStream(header http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && header.Get("Content-Encoding") == ""
}

// eventRelay passes the events of one stream on as soon as each is complete and found sound. A
// resumed stream begins between two events, because only whole ones were passed on before.
type eventRelay struct {
	ctx      context.Context
	sink     Sink
	splitter eventstream.Splitter
	checker  *eventstream.Checker
	// long is the buffer taken from longEventBuffer while the splitter uses it.
	long []byte
}

func newEventRelay(ctx context.Context, sink Sink) *eventRelay {
	r := &eventRelay{
		ctx: ctx, sink: sink,
		splitter: eventstream.Splitter{Limit: maxEventBytes}, checker: eventstream.NewChecker(eventstream.Contract{}),
	}
	r.splitter.MoveTo(shortEventBuffer())
	return r
}

func shortEventBuffer() []byte { return make([]byte, 0, maxShortEventBytes+streamReadBytes) }

// data processes bytes of the stream, streamReadBytes at most. After an unsound block it returns
// ErrUnsound; neither the block nor what follows is passed on.
func (r *eventRelay) data(p []byte) error {
	if err := r.reserve(); err != nil {
		return err
	}
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
	if r.long != nil && len(r.splitter.Pending()) <= maxShortEventBytes {
		r.splitter.MoveTo(shortEventBuffer())
		r.close()
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

// reserve makes room for the next bytes. For those of a long event it waits until no other stream
// has one.
func (r *eventRelay) reserve() error {
	if r.long != nil || len(r.splitter.Pending()) <= maxShortEventBytes {
		return nil
	}
	select {
	case r.long = <-longEventBuffer:
	case <-r.ctx.Done():
		return eris.Wrap(ErrInterrupted, context.Cause(r.ctx).Error())
	}
	if r.long == nil {
		r.long = make([]byte, 0, maxEventBytes+streamReadBytes)
	}
	r.splitter.MoveTo(r.long)
	return nil
}

// close gives back what reserve has taken.
func (r *eventRelay) close() {
	if r.long != nil {
		longEventBuffer <- r.long
		r.long = nil
	}
}

// end returns ErrInterrupted if the stream ended within an event, which was not passed on.
func (r *eventRelay) end() error {
	if len(r.splitter.Pending()) > 0 {
		return eris.Wrap(ErrInterrupted, "stream ended within an event")
	}
	return nil
}
