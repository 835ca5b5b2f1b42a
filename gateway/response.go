package gateway

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	// decision is the admission decision behind the refusal; nil if it was not caused
	// by one.
	decision *admission.Decision
}

// notRun returns the refusal of a request that no upstream has run or will run.
func notRun(code, message string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: code, message: message, retryAfter: retryAfter}
}

// unknownOutcome returns the refusal of a request that may have run.
func unknownOutcome(code, message string) *refusal {
	return &refusal{status: http.StatusBadGateway, code: code, message: message}
}

// refusalMessage returns the message to a caller whose request was not admitted.
func refusalMessage(reason admission.Reason) string {
	if reason == admission.NoHomeRegion {
		return "the service has no upstream in the home regions of this route and team; " +
			"retry later, or ask the operators to add capacity there or to change the home regions"
	}
	return "no upstream would answer on time"
}

// errResponseStarted reports a response that was to be written although another one has
// started.
var errResponseStarted = eris.New("gateway: another response has started")

// responseWriter writes the response to the caller. It is the only one that writes heads and
// refuses to write a second one.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// closing reports whether the connection is closed after the response.
	closing func() bool
	started bool
	// stream is set if the response that has started is an event stream.
	stream bool
	// request is the context of the caller's request. It ends when the caller
	// disconnects.
	request context.Context
	// conn is the caller's connection while it queues what its socket does not accept;
	// nil otherwise.
	conn *callerConn
	// unread is set if an upstream broke off because the caller did not read.
	unread bool
	// closeDelimited is set if the end of the connection marks the end of the response.
	closeDelimited bool
	log            *zap.Logger
	// requestID identifies the request in logs.
	requestID string
}

func newResponseWriter(w http.ResponseWriter, r *http.Request, closing func() bool, log *zap.Logger) *responseWriter {
	return &responseWriter{
		w: w, control: http.NewResponseController(w), request: r.Context(), closing: closing, log: log,
		closeDelimited: !r.ProtoAtLeast(1, 1),
	}
}

// checkNotStarted returns errResponseStarted if a response has started.
func (rw *responseWriter) checkNotStarted() error {
	if rw.started {
		return errResponseStarted
	}
	return nil
}

// rejectSecond closes the connection instead of writing a second response into the first.
func (rw *responseWriter) rejectSecond(status int, err error) {
	secondHeads.Add(1)
	rw.log.Error("second response rejected", zap.String("request", rw.requestID), zap.Int("status", status), zap.Error(err))
	rw.abort()
}

// writeHead writes the status line and the headers. It does not return if a response has
// started.
func (rw *responseWriter) writeHead(status int, header http.Header) {
	if err := rw.checkNotStarted(); err != nil {
		rw.rejectSecond(status, err)
	}
	out := rw.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if rw.closing() {
		out.Set("Connection", "close")
	}
	rw.started = true
	rw.w.WriteHeader(status)
}

// writeRefusal writes an error response of the gateway itself.
func (rw *responseWriter) writeRefusal(r *refusal) {
	header := http.Header{"Content-Type": {"application/json"}}
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
		header.Set("Retry-After", seconds)
	}
	// Marshaling cannot fail: refusalBody holds only strings.
	body, _ := json.Marshal(map[string]refusalBody{"error": {Code: r.code, Message: r.message}})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	rw.writeHead(r.status, header)
	_, _ = rw.w.Write(body) // A closed connection is detected through the request's context.
}

type refusalBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeBeginning writes the beginning of the body, releases it and flushes it to the caller.
func (rw *responseWriter) writeBeginning(resp *bufferedResponse) error {
	defer resp.release()
	if resp.beginning != nil {
		for part := range resp.beginning.Parts() {
			if _, err := rw.w.Write(part); err != nil {
				return err
			}
		}
	}
	return rw.control.Flush()
}

// writeAndFlush writes part of the body and flushes it to the caller.
func (rw *responseWriter) writeAndFlush(p []byte) error {
	if _, err := rw.w.Write(p); err != nil {
		return err
	}
	return rw.control.Flush()
}

// abort closes the connection before the response is complete, so that the caller does
// not mistake the response for a complete one. An HTTP/1.0 caller would take a regular close
// for the end of the response, so its connection is reset.
func (rw *responseWriter) abort() {
	if rw.closeDelimited {
		if err := resetOnClose(rw.request); err != nil {
			rw.log.Warn("connection not reset", zap.String("request", rw.requestID), zap.Error(err))
		}
	}
	panic(http.ErrAbortHandler)
}

// resetOnClose makes the close of the caller's connection a reset.
func resetOnClose(request context.Context) error {
	caller, ok := request.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return eris.New("gateway: no connection of the caller")
	}
	conn, ok := caller.Conn.(*net.TCPConn)
	if !ok {
		return eris.Errorf("gateway: the caller's connection is a %T", caller.Conn)
	}
	return conn.SetLinger(0)
}
