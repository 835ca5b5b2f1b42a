package gateway

import (
	"strconv"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// maxLoggedStreamBytes limits the bytes of an unsound block that are logged.
const maxLoggedStreamBytes = 64

// streamTrace records what an upstream sent as a stream, for logs and for the check of its
// events.
type streamTrace struct {
	checker *eventstream.Checker
	// events is the number of sound events with an id, and lastID the id of the last one.
	events int
	lastID int64
	// unsound is the number of blocks that are not events of the stream.
	unsound int
	// earlierRequests is the number of requests that the connection carried before.
	earlierRequests int
	closeDelimited  bool
}

// newStreamTrace returns the trace of one response.
func (g *Gateway) newStreamTrace(j *job, x *upstream.Exchange) *streamTrace {
	return &streamTrace{
		checker:         eventstream.NewChecker(g.options.Dialect.StreamContract()),
		earlierRequests: x.EarlierRequests(), closeDelimited: j.closeDelimited,
	}
}

// observe records a block of the stream and returns the error of an unsound one.
func (t *streamTrace) observe(event eventstream.Event) error {
	if err := t.checker.Check(event); err != nil {
		t.unsound++
		return err
	}
	if event.HasID {
		t.events++
		t.lastID = event.ID
	}
	return nil
}

// logFields returns the log fields of the attempt that received the stream.
func (t *streamTrace) logFields() []zap.Field {
	if t == nil {
		return nil
	}
	return []zap.Field{zap.Int("events", t.events), zap.Int64("last_event", t.lastID), zap.Int("unsound", t.unsound),
		zap.Int("earlier_requests", t.earlierRequests), zap.Bool("close_delimited", t.closeDelimited)}
}

// logUnsoundStream logs and counts the first unsound block of a stream.
func (g *Gateway) logUnsoundStream(j *job, t *streamTrace, event eventstream.Event, err error) {
	if t.unsound > 1 {
		return
	}
	unsoundStreamCounts.Add(string(j.service.id), 1)
	excerpt := event.Raw[:min(len(event.Raw), maxLoggedStreamBytes)]
	fields := []zap.Field{zap.String("request", j.in.ID), zap.String("upstream", string(j.upstream.ID)), zap.Int("attempt", j.attempts),
		zap.Int64("resumed_after", j.position.lastID), zap.Int("bytes", len(event.Raw)), zap.String("excerpt", strconv.QuoteToASCII(string(excerpt))), zap.Error(err)}
	g.log.Warn("unsound stream", append(fields, t.logFields()...)...)
}
