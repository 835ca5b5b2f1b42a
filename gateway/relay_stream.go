package gateway

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// errGap reports a resumed stream that does not go on where the caller's events end.
var errGap = eris.New("gateway: events are missing in a resumed stream")

// errCallerWrite reports a write to the caller that failed.
var errCallerWrite = eris.New("gateway: write to the caller failed")

// streamRelay relays one upstream's stream to the caller.
type streamRelay struct {
	gateway  *Gateway
	job      *job
	attempt  string
	exchange *upstream.Exchange
	splitter eventstream.Splitter
	trace    *streamTrace
	// firstEvent is the time from the request's arrival to the first event with an id, and
	// lastEvents when such events were last read.
	firstEvent time.Duration
	lastEvents time.Time
	// continued is set if an earlier attempt relayed events, and written is the number of
	// events with an ID that this one has relayed.
	continued bool
	written   int
	// unflushed is set while written bytes have not been flushed to the caller.
	unflushed bool
}

// relayStream relays each event as soon as it is complete and found sound. On a retry the
// caller already has the headers and some events.
func (g *Gateway) relayStream(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	g.queueUnsent(ctx, j)
	s := &streamRelay{gateway: g, job: j, attempt: id, exchange: x, trace: g.newStreamTrace(j, x), continued: j.position.started}
	err := s.relayUntilEnd()
	res := s.end(ctx, err)
	res.firstEvent, res.stream = s.firstEvent, s.trace
	return res
}

// relayUntilEnd relays events until the stream ends. It returns nil if the stream is
// complete, errCallerWrite if the caller is gone, and other errors of the upstream.
func (s *streamRelay) relayUntilEnd() error {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := s.exchange.Read(buf)
		if n > 0 {
			if relayErr := s.relayBytes(buf[:n]); relayErr != nil {
				return relayErr
			}
		}
		if errors.Is(err, io.EOF) {
			return s.checkEnd()
		}
		if err != nil {
			return err
		}
	}
}

// recordEvents records the time at which events with an id were read.
func (s *streamRelay) recordEvents(now time.Time) {
	if s.lastEvents.Equal(now) {
		return
	}
	if s.firstEvent == 0 {
		s.firstEvent = now.Sub(s.job.arrived)
		s.job.service.recordFirstEvent(s.attempt)
		s.job.answerBegun.Store(true)
	} else {
		eventGap.record(now.Sub(s.lastEvents))
	}
	s.lastEvents = now
}

// checkEnd returns an error if the response ended where a stream can't be complete.
func (s *streamRelay) checkEnd() error {
	if len(s.splitter.Pending()) > 0 {
		return eris.New("stream ended within an event")
	}
	if s.job.closeDelimited && s.firstEvent == 0 {
		// An upstream that crashed before its first event looks the same.
		return eris.New("connection ended before the first event")
	}
	return nil
}

// end returns the result of the attempt.
func (s *streamRelay) end(ctx context.Context, err error) result {
	g, j := s.gateway, s.job
	switch {
	case err == nil:
		g.recordOutcome(j, s.attempt, outlier.Success)
		s.writeHead()
		return result{kind: complete, status: http.StatusOK}
	case errors.Is(err, errCallerWrite):
		j.service.cancelAttempt(s.attempt)
		return result{kind: callerGone, err: err}
	default:
		// Either this event or the one before it may be inserted.
		j.position.uncertain = j.position.uncertain || errors.Is(err, eventstream.ErrOrder)
		return g.classifyBroken(ctx, j, s.attempt, s.exchange, err)
	}
}

// relayBytes relays the events that p completes. After an unsound block it returns an error
// and relays nothing further: what follows can't be told from what was inserted.
func (s *streamRelay) relayBytes(p []byte) error {
	if err := s.splitter.Write(p); err != nil {
		return err
	}
	now := time.Now()
	var err error
	for event, ok := s.splitter.Next(); ok; event, ok = s.splitter.Next() {
		if err = s.relayEvent(now, event); err != nil {
			break
		}
	}
	return cmp.Or(err, s.flush())
}

// relayEvent relays an event that was read at a given time, if it is sound and the caller does
// not have it.
func (s *streamRelay) relayEvent(now time.Time, event eventstream.Event) error {
	if err := s.trace.observe(event); err != nil {
		s.gateway.logUnsoundStream(s.job, s.trace, event, err)
		return err
	}
	if event.HasID {
		s.recordEvents(now)
		switch position := &s.job.position; {
		case position.includes(event.ID):
			return nil
		case s.joins() && position.leavesGap(event.ID):
			return eris.Wrapf(errGap, "event %d after %d", event.ID, position.lastID)
		}
	}
	return s.write(event)
}

func (s *streamRelay) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	if err := s.job.response.control.Flush(); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	return nil
}

// joins reports whether the next event follows one that an earlier attempt has relayed.
func (s *streamRelay) joins() bool { return s.continued && s.written == 0 }

func (s *streamRelay) write(event eventstream.Event) error {
	raw := event.Raw
	if s.job.response.started {
		raw = eventstream.TrimByteOrderMark(raw)
	}
	s.writeHead()
	if _, err := s.job.response.w.Write(raw); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	s.unflushed = true
	if event.HasID {
		s.written++
		s.job.position.advance(event.ID)
	}
	return nil
}

// writeHead writes the head of the response unless an earlier attempt has.
func (s *streamRelay) writeHead() {
	if s.job.response.started {
		return
	}
	response := s.exchange.Response
	s.job.response.stream = true
	s.job.response.writeHead(response.StatusCode, s.gateway.options.Dialect.ResponseHeader(response.Header))
}
