package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCallerGone is returned when the caller has closed the connection or does not
// accept the response in time.
var ErrCallerGone = eris.New("caller: connection closed")

// maxBufferedBytes is the maximum size of a response that is buffered until it is
// complete, so that its outcome can be sent as a header.
const maxBufferedBytes = 256 << 10

// writeTimeout bounds the time in which a caller has to accept a part of its response,
// so that a caller that does not read cannot occupy the upstream's slot.
const writeTimeout = 30 * time.Second

// responder implements Responder for one HTTP request. The outcome is a header of
// responses of at most maxBufferedBytes, and a trailer of event streams and longer
// responses.
type responder struct {
	w         http.ResponseWriter
	status    int
	header    http.Header
	buf       []byte
	streaming bool
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{w: w}
}

// Start implements Responder. It discards a response that was buffered before.
func (r *responder) Start(status int, header http.Header) error {
	r.status = status
	r.header = header
	r.buf = nil
	if strings.HasPrefix(header.Get("Content-Type"), "text/event-stream") {
		return r.startStreaming()
	}
	return nil
}

// Write implements Responder.
func (r *responder) Write(p []byte) error {
	if r.streaming {
		return r.writeAndFlush(p)
	}
	r.buf = append(r.buf, p...)
	if len(r.buf) <= maxBufferedBytes {
		return nil
	}
	if err := r.startStreaming(); err != nil {
		return err
	}
	buf := r.buf
	r.buf = nil
	return r.writeAndFlush(buf)
}

// Started implements Responder.
func (r *responder) Started() bool { return r.streaming }

// finish ends a complete response.
func (r *responder) finish() error {
	if r.streaming {
		r.w.Header().Set(HeaderOutcome, string(OutcomeComplete))
		return nil
	}
	r.copyHeader()
	r.w.Header().Set(HeaderOutcome, string(OutcomeComplete))
	r.w.WriteHeader(r.status)
	if _, err := r.w.Write(r.buf); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

// setWriteDeadline sets the deadline of writes to the caller. It has no effect on a
// writer that does not support deadlines.
func (r *responder) setWriteDeadline(t time.Time) {
	_ = http.NewResponseController(r.w).SetWriteDeadline(t)
}

func (r *responder) startStreaming() error {
	r.streaming = true
	r.copyHeader()
	r.w.Header().Del("Content-Length")
	r.w.Header().Set("Trailer", HeaderOutcome)
	r.w.WriteHeader(r.status)
	return r.writeAndFlush(nil)
}

func (r *responder) writeAndFlush(p []byte) error {
	r.setWriteDeadline(time.Now().Add(writeTimeout))
	// The wait for the upstream's next part does not count against the caller.
	defer r.setWriteDeadline(time.Time{})
	if len(p) > 0 {
		if _, err := r.w.Write(p); err != nil {
			return eris.Wrap(ErrCallerGone, err.Error())
		}
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

func (r *responder) copyHeader() {
	for name, values := range r.header {
		r.w.Header()[name] = values
	}
}
