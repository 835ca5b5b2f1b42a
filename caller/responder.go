package caller

import (
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ErrCallerGone reports that the caller's connection is closed.
var ErrCallerGone = eris.New("caller: connection closed")

// bufferBytes is how much of an answer that is not a stream is held back so
// that its outcome can be sent as a header.
const bufferBytes = 256 << 10

// stallTimeout bounds how long a caller may take to accept a part of its
// answer: beyond it the upstream's slot is given to others.
const stallTimeout = 30 * time.Second

// responder writes one answer. Whole answers up to bufferBytes carry their
// outcome as a header; streams and longer answers carry it as a trailer.
type responder struct {
	w        http.ResponseWriter
	status   int
	header   http.Header
	buf      []byte
	streamed bool
}

func newResponder(w http.ResponseWriter) *responder {
	return &responder{w: w}
}

// Start implements Responder. An answer that was held back is replaced.
func (r *responder) Start(status int, header http.Header) error {
	r.status = status
	r.header = header
	r.buf = nil
	if strings.HasPrefix(header.Get("Content-Type"), "text/event-stream") {
		return r.beginStream()
	}
	return nil
}

// Write implements Responder.
func (r *responder) Write(p []byte) error {
	if r.streamed {
		return r.flush(p)
	}
	r.buf = append(r.buf, p...)
	if len(r.buf) <= bufferBytes {
		return nil
	}
	if err := r.beginStream(); err != nil {
		return err
	}
	buf := r.buf
	r.buf = nil
	return r.flush(buf)
}

// Started implements Responder.
func (r *responder) Started() bool { return r.streamed }

// finish ends a whole answer.
func (r *responder) finish() error {
	if r.streamed {
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

// setDeadline bounds the writes to the caller. A writer without deadlines is
// not bounded.
func (r *responder) setDeadline(t time.Time) {
	_ = http.NewResponseController(r.w).SetWriteDeadline(t)
}

func (r *responder) beginStream() error {
	r.streamed = true
	r.copyHeader()
	r.w.Header().Del("Content-Length")
	r.w.Header().Set("Trailer", HeaderOutcome)
	r.w.WriteHeader(r.status)
	return r.flush(nil)
}

func (r *responder) flush(p []byte) error {
	r.setDeadline(time.Now().Add(stallTimeout))
	// The wait for the next part is the upstream's.
	defer r.setDeadline(time.Time{})
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
