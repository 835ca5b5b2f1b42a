package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/exchange"
	"fulmarspindle.example/fulmarspindle/httpconn"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// relayBufferBytes is the buffer size for reading a response body.
const relayBufferBytes = 16 << 10

// resultKind is how an attempt ended.
type resultKind int

const (
	// complete means that the whole response was relayed to the caller.
	complete resultKind = iota
	// notSent means that nothing was sent to the upstream.
	notSent
	// refusedByUpstream means that the upstream reported that it did not run the
	// request.
	refusedByUpstream
	// failedByUpstream means that the upstream ran the request and returned an error.
	failedByUpstream
	// broken means that the response was incomplete or invalid; the request may have
	// run.
	broken
	// callerGone means that the connection to the caller failed.
	callerGone
	// callerLeftEarly means that the caller had disconnected before anything was sent.
	callerLeftEarly
)

// String returns the kind as it is logged.
func (k resultKind) String() string {
	return [...]string{"complete", "not_sent", "refused", "failed", "broken", "caller_gone", "caller_left_early"}[k]
}

// result describes how an attempt ended.
type result struct {
	kind   resultKind
	status int
	// response is the upstream's response if it was buffered and not relayed.
	response *bufferedResponse
	// firstEvent is the time from the request's arrival to the first byte or event of
	// the response.
	firstEvent time.Duration
	// stream describes the events of a stream; nil for other responses.
	stream *streamTrace
	err    error
}

func (r result) mayHaveRun() bool {
	return r.kind != notSent && r.kind != refusedByUpstream && r.kind != callerLeftEarly
}

// reached reports whether the request was sent to an upstream.
func (r result) reached() bool { return r.kind != notSent && r.kind != callerLeftEarly }

// charged reports whether the attempt is charged to the team's account: for engines
// from the first token on, for other upstreams if the request may have run.
func (r result) charged(generative bool) bool {
	if generative {
		return r.firstEvent > 0 && r.kind != failedByUpstream
	}
	return r.mayHaveRun()
}

func (k resultKind) callerDisconnected() bool { return k == callerGone || k == callerLeftEarly }

// bufferedResponse is a response that has not been relayed. It is complete, or has the beginning of
// its body only.
type bufferedResponse struct {
	status    int
	header    http.Header
	body      []byte
	beginning *httpconn.Body
}

// release gives the memory of the beginning back.
func (h *bufferedResponse) release() {
	if h.beginning != nil {
		h.beginning.Release()
	}
}

func (h *bufferedResponse) send(rw *responseWriter) {
	h.header.Set("Content-Length", strconv.Itoa(len(h.body)))
	rw.writeHead(h.status, h.header)
	_, _ = rw.w.Write(h.body) // A closed connection is detected through the request's context.
}

// relay relays an upstream's response to the caller.
func (g *Gateway) relay(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	status, header := x.Response.StatusCode, x.Response.Header
	g.markReportedCold(j, status, header)
	g.observeLimit(j, status, header)
	j.closeDelimited = x.CloseDelimited()
	switch g.options.Dialect.ClassifyResponse(status, header) {
	case exchange.NotRun:
		// Drains the body so that the connection can be reused, which one whose response
		// bears no id is not.
		_, _ = io.Copy(io.Discard, io.LimitReader(x, relayBufferBytes))
		j.service.cancelAttempt(id)
		return result{kind: refusedByUpstream, status: status}
	case exchange.Invalid:
		return g.classifyCorrupt(j, id, x, eris.New("response is not from the upstream"))
	case exchange.Failed:
		return g.relayFailure(ctx, j, id, x)
	case exchange.Ran:
	}
	stream := isEventStream(header)
	switch {
	case status/100 != 2, j.route.Kind != route.Stream && !stream:
		return g.relayWhole(ctx, j, id, x)
	case j.route.Kind != route.Stream:
		head := &bufferedResponse{status: status, header: g.options.Dialect.ResponseHeader(header)}
		return g.relayIncrementally(ctx, j, id, x, head)
	case !stream || status != http.StatusOK:
		return g.classifyCorrupt(j, id, x, eris.New("response is not an event stream"))
	}
	return g.relayStream(ctx, j, id, x)
}

// isEventStream reports whether a response has the type of event streams and no other.
func isEventStream(header http.Header) bool {
	values := header.Values("Content-Type")
	if len(values) != 1 {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(values[0])
	return err == nil && mediaType == "text/event-stream"
}

// relayFailure buffers an error response of the upstream instead of relaying it, since
// the request may be retried.
func (g *Gateway) relayFailure(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	resp, err := g.bufferResponse(j, x)
	if err != nil {
		resp.release()
		return g.classifyBroken(ctx, j, id, x, err)
	}
	g.recordOutcome(j, id, outlier.Failure)
	return result{kind: failedByUpstream, status: resp.status, response: resp, firstEvent: time.Since(j.arrived)}
}

// bufferResponse reads a complete response. With an error it returns the beginning, which must be
// released. It returns errTooLarge if the response exceeds MaxAnswerBytes or if the shared buffers
// are full.
func (g *Gateway) bufferResponse(j *job, x *upstream.Exchange) (*bufferedResponse, error) {
	counted := &countingReader{body: x, gateway: g, job: j}
	body, err := g.bodies.Read(counted, g.options.MaxAnswerBytes)
	resp := &bufferedResponse{status: x.Response.StatusCode, header: g.options.Dialect.ResponseHeader(x.Response.Header), beginning: body}
	switch {
	case err == nil:
		resp.body = body.Bytes()
		resp.release()
	case errors.Is(err, httpconn.ErrBodyTooLong), errors.Is(err, httpconn.ErrBodiesTooLong), errors.Is(err, errBuffersFull):
		err = errTooLarge
	}
	return resp, err
}

// relayWhole relays a response once it is complete, or incrementally if it is too large
// to be buffered.
func (g *Gateway) relayWhole(ctx context.Context, j *job, id string, x *upstream.Exchange) result {
	resp, err := g.bufferResponse(j, x)
	defer resp.release()
	first := time.Since(j.arrived)
	if err != nil && !errors.Is(err, errTooLarge) {
		return g.classifyBroken(ctx, j, id, x, err)
	}
	j.service.recordFirstEvent(id)
	if j.response.started {
		// A response that has started can only be continued as an event stream.
		g.recordOutcome(j, id, outlier.Failure)
		return result{kind: broken, status: resp.status, err: eris.New("not the continuation of a stream")}
	}
	if err == nil {
		g.recordOutcome(j, id, outlier.Success)
		resp.send(j.response)
		return result{kind: complete, status: resp.status, firstEvent: first}
	}
	return g.relayIncrementally(ctx, j, id, x, resp)
}

// relayIncrementally relays a response as it is read. If the response breaks off, the
// caller's connection is closed.
func (g *Gateway) relayIncrementally(ctx context.Context, j *job, id string, x *upstream.Exchange, resp *bufferedResponse) result {
	j.response.writeHead(resp.status, resp.header)
	buf, n := make([]byte, relayBufferBytes), 0
	write := func() error { return j.response.writeBeginning(resp) }
	var longestWrite time.Duration
	for {
		began := time.Now()
		err := write()
		longestWrite = max(longestWrite, time.Since(began))
		if err != nil {
			j.service.cancelAttempt(id)
			return result{kind: callerGone, err: err}
		}
		n, err = x.Read(buf)
		write = func() error { return j.response.writeAndFlush(buf[:n]) }
		switch {
		case errors.Is(err, io.EOF) && n == 0:
			g.recordOutcome(j, id, outlier.Success)
			return result{kind: complete, status: resp.status}
		case err == nil || errors.Is(err, io.EOF):
			// There is a part to relay.
		case longestWrite >= slowWriteTime:
			// The upstream could not send meanwhile and may have cut off the response.
			j.service.cancelAttempt(id)
			j.response.unread = true
			return result{kind: callerGone, status: resp.status, err: err}
		default:
			return g.classifyBroken(ctx, j, id, x, err)
		}
	}
}

// slowWriteTime is how long a caller has to delay a single write to count as the reason
// for which an upstream broke off a response that is not a stream.
const slowWriteTime = time.Second
