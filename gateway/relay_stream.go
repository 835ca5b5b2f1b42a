package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/upstream"
)

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
	// firstEvent is the time from the request's arrival to the first bytes, and lastRead
	// when bytes were last read.
	firstEvent time.Duration
	lastRead   time.Time
}

// relayStream relays each event as soon as it is complete and found sound. On a retry the
// caller already has the headers and some events.
func (g *Gateway) relayStream(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	g.queueUnsent(ctx, j)
	s := &streamRelay{gateway: g, job: j, attempt: id, exchange: x, trace: g.newStreamTrace(j, x)}
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
			s.recordRead(time.Now())
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

func (s *streamRelay) recordRead(now time.Time) {
	if s.firstEvent == 0 {
		s.firstEvent = now.Sub(s.job.arrived)
		s.job.service.recordFirstEvent(s.attempt)
		s.job.answerBegun.Store(true)
	} else {
		eventGap.record(now.Sub(s.lastRead))
	}
	s.lastRead = now
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
		return g.classifyBroken(ctx, j, s.attempt, s.exchange, err)
	}
}

// relayBytes relays the events that p completes. After an unsound block it returns
// eventstream.ErrUnsound and relays nothing further: what follows can't be told from what
// was inserted.
func (s *streamRelay) relayBytes(p []byte) error {
	if err := s.splitter.Write(p); err != nil {
		return err
	}
	wrote := false
	var unsound error
	for event, ok := s.splitter.Next(); ok; event, ok = s.splitter.Next() {
		if unsound = s.trace.observe(event); unsound != nil {
			s.gateway.logUnsoundStream(s.job, s.trace, event, unsound)
			break
		}
		if s.callerHas(event) {
			continue
		}
		if err := s.write(event); err != nil {
			return err
		}
		wrote = true
	}
	if wrote {
		if err := s.job.response.control.Flush(); err != nil {
			return eris.Wrap(errCallerWrite, err.Error())
		}
	}
	return unsound
}

// callerHas reports whether an earlier attempt has relayed the event.
func (s *streamRelay) callerHas(event eventstream.Event) bool {
	return event.HasID && s.job.position.started && event.ID <= s.job.position.lastID
}

func (s *streamRelay) write(event eventstream.Event) error {
	raw := event.Raw
	if s.job.response.started {
		raw = eventstream.TrimByteOrderMark(raw)
	}
	s.writeHead()
	if _, err := s.job.response.w.Write(raw); err != nil {
		return eris.Wrap(errCallerWrite, err.Error())
	}
	if event.HasID {
		s.job.position = streamPosition{lastID: event.ID, started: true}
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

// mayContinue reports whether the stream of another upstream may continue the response that
// has started. Other responses would be joined from two runs.
func (j *job) mayContinue() bool {
	return j.response.stream && j.route.Kind == route.Stream && j.route.Resumable
}
