package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/eventstream"
	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// relayBufferBytes is the size of a read of an answer's body.
const relayBufferBytes = 16 << 10

// resultKind is how an attempt ended.
type resultKind int

const (
	// complete means that the caller has the whole answer.
	complete resultKind = iota
	// notSent means that nothing reached the upstream.
	notSent
	// refusedByUpstream means that the upstream says that it has not run it.
	refusedByUpstream
	// failedByUpstream means that the upstream ran it and failed.
	failedByUpstream
	// broken means that the answer did not come whole: it may have run.
	broken
	// callerGone means that the caller's connection failed.
	callerGone
	// callerLeftEarly means that the caller had left before anything was sent.
	callerLeftEarly
)

// String returns the kind as it is logged.
func (k resultKind) String() string {
	return [...]string{"complete", "not_sent", "refused", "failed", "broken", "caller_gone", "caller_left_early"}[k]
}

// result is how an attempt ended.
type result struct {
	kind   resultKind
	status int
	// response is the upstream's answer if it was not passed on.
	response *bufferedResponse
	// firstEvent is the time to the answer's firstEvent byte or event.
	firstEvent time.Duration
	err        error
}

func (r result) mayHaveRun() bool {
	return r.kind != notSent && r.kind != refusedByUpstream && r.kind != callerLeftEarly
}

// reached reports whether an upstream got the request.
func (r result) reached() bool { return r.kind != notSent && r.kind != callerLeftEarly }

// charged reports whether the attempt counts as served in the team's account: an
// engine begins with its first token, other upstreams with what they may have run.
func (r result) charged(generative bool) bool {
	if generative {
		return r.firstEvent > 0 && r.kind != failedByUpstream
	}
	return r.mayHaveRun()
}

func (k resultKind) callerDisconnected() bool { return k == callerGone || k == callerLeftEarly }

// bufferedResponse is a whole answer that has not been passed on.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (h *bufferedResponse) send(a *responseWriter) {
	h.header.Set("Content-Length", strconv.Itoa(len(h.body)))
	a.writeHead(h.status, h.header)
	_, _ = a.w.Write(h.body) // A caller that left is noticed by its context.
}

// streamPosition is how much of a stream the caller has.
type streamPosition struct {
	lastID int64
	// started is set once an event was passed on.
	started bool
}

// relay passes an upstream's answer on.
func (g *Gateway) relay(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	status, header := x.Response.StatusCode, x.Response.Header
	switch g.options.Dialect.ClassifyResponse(status, header) {
	case exchange.NotRun:
		_, _ = io.Copy(io.Discard, io.LimitReader(x, relayBufferBytes)) // So that the connection can be kept.
		j.service.cancelAttempt(id)
		return result{kind: refusedByUpstream, status: status}
	case exchange.Invalid:
		g.recordOutcome(j, id, outlier.Broken)
		return result{kind: broken, status: status, err: eris.New("not an answer of the upstream")}
	case exchange.Failed:
		return g.relayFailure(ctx, j, id, x)
	case exchange.Ran:
	}
	if isEventStream(header) && status == http.StatusOK {
		return g.relayStream(ctx, j, id, x)
	}
	return g.relayWhole(ctx, j, id, x)
}

func isEventStream(header http.Header) bool {
	return strings.HasPrefix(header.Get("Content-Type"), "text/event-stream")
}

// relayFailure holds an upstream's own failure: the request may be tried again.
func (g *Gateway) relayFailure(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	held, err := g.bufferResponse(j, x)
	if err != nil {
		return g.classifyBroken(ctx, j, id, x, err)
	}
	g.recordOutcome(j, id, outlier.Failure)
	return result{kind: failedByUpstream, status: held.status, response: held, firstEvent: time.Since(j.arrived)}
}

// bufferResponse reads a whole answer. With errTooLarge it returns the begin of one that is
// over its bound, or whose part of the buffers is taken.
func (g *Gateway) bufferResponse(j *job, x *upstream.Exchange) (*bufferedResponse, error) {
	counted := &bufferedBody{body: io.LimitReader(x, int64(g.options.MaxAnswerBytes)+1), gateway: g, job: j}
	body, err := io.ReadAll(counted)
	if err != nil && !errors.Is(err, errBuffersFull) {
		return nil, err
	}
	held := &bufferedResponse{status: x.Response.StatusCode, header: g.options.Dialect.ResponseHeader(x.Response.Header), body: body}
	if err != nil || len(body) > g.options.MaxAnswerBytes {
		return held, errTooLarge
	}
	return held, nil
}

// relayWhole passes an answer on when it is whole, or as it comes if it is long.
func (g *Gateway) relayWhole(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	held, err := g.bufferResponse(j, x)
	first := time.Since(j.arrived)
	j.service.recordFirstEvent(id)
	if err != nil && !errors.Is(err, errTooLarge) {
		return g.classifyBroken(ctx, j, id, x, err)
	}
	if j.response.started {
		// A stream can't go on with an answer of another form.
		g.recordOutcome(j, id, outlier.Failure)
		return result{kind: broken, status: held.status, err: eris.New("not an event stream")}
	}
	if err == nil {
		g.recordOutcome(j, id, outlier.Success)
		held.send(j.response)
		return result{kind: complete, status: held.status, firstEvent: first}
	}
	return g.relayLong(ctx, j, id, x, held)
}

// relayLong passes an answer on as it comes. The connection breaks off if the
// answer does.
func (g *Gateway) relayLong(ctx context.Context, j *job, id string, x *upstream.Exchange, held *bufferedResponse) result {
	j.response.writeHead(held.status, held.header)
	part, buf := held.body, make([]byte, relayBufferBytes)
	for {
		if err := j.response.writeAndFlush(part); err != nil {
			j.service.cancelAttempt(id)
			return result{kind: callerGone, err: err}
		}
		n, err := x.Read(buf)
		part = buf[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			g.recordOutcome(j, id, outlier.Success)
			return result{kind: complete, status: held.status}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return g.classifyBroken(ctx, j, id, x, err)
		}
	}
}

// classifyBroken judges an answer that classifyBroken off.
func (g *Gateway) classifyBroken(ctx context.Context, j *job, id string, x *upstream.Exchange, err error) result {
	if ctx.Err() != nil {
		j.service.cancelAttempt(id)
	} else {
		g.recordOutcome(j, id, outlier.Broken)
	}
	return result{kind: broken, status: x.Response.StatusCode, err: err}
}

// relayStream passes events on, each as soon as it is whole. On a repeated
// attempt the caller already has the head and some events.
func (g *Gateway) relayStream(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	var splitter eventstream.Splitter
	lastEvent := time.Time{}
	res := result{kind: complete, status: http.StatusOK}
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := x.Read(buf)
		if n > 0 {
			now := time.Now()
			if res.firstEvent == 0 {
				res.firstEvent = now.Sub(j.arrived)
				j.service.recordFirstEvent(id)
			} else {
				eventGap.record(now.Sub(lastEvent))
			}
			lastEvent = now
			if splitErr := splitter.Write(buf[:n]); splitErr != nil {
				return g.classifyBroken(ctx, j, id, x, splitErr)
			}
			if goneErr := g.relayEvents(j, x, &splitter); goneErr != nil {
				j.service.cancelAttempt(id)
				return result{kind: callerGone, err: goneErr, firstEvent: res.firstEvent}
			}
		}
		if errors.Is(err, io.EOF) && len(splitter.Pending()) > 0 {
			err = eris.New("stream ended within an event")
		}
		if errors.Is(err, io.EOF) {
			return g.finishStream(j, id, x, res)
		}
		if err != nil {
			broke := g.classifyBroken(ctx, j, id, x, err)
			broke.firstEvent = res.firstEvent
			return broke
		}
	}
}

func (g *Gateway) finishStream(j *job, id string, x *upstream.Exchange, res result) result {
	g.recordOutcome(j, id, outlier.Success)
	if !j.response.started {
		j.response.writeHead(x.Response.StatusCode, g.options.Dialect.ResponseHeader(x.Response.Header))
	}
	return res
}

// relayEvents writes the whole events that the caller does not have yet.
func (g *Gateway) relayEvents(j *job, x *upstream.Exchange, splitter *eventstream.Splitter) error {
	wrote := false
	for {
		event, ok := splitter.Next()
		if !ok {
			break
		}
		if event.HasID && j.position.started && event.ID <= j.position.lastID {
			continue
		}
		if !j.response.started {
			j.response.writeHead(x.Response.StatusCode, g.options.Dialect.ResponseHeader(x.Response.Header))
		}
		if _, err := j.response.w.Write(event.Raw); err != nil {
			return err
		}
		wrote = true
		if event.HasID {
			j.position = streamPosition{lastID: event.ID, started: true}
		}
	}
	if !wrote {
		return nil
	}
	return j.response.control.Flush()
}

// resumeAfter returns the last event that the caller has of this answer.
func (j *job) resumeAfter() string {
	if !j.position.started {
		return ""
	}
	return strconv.FormatInt(j.position.lastID, 10)
}
