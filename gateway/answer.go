package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"fulmarspindle.example/fulmarspindle/admission"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status     int
	code       string
	message    string
	retryAfter time.Duration
	// decision is what was refused by; nil if it is no matter of upstreams.
	decision *admission.Decision
}

// notRun returns a refusal of a request that has not run and never will.
func notRun(code, message string, retryAfter time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: code, message: message, retryAfter: retryAfter}
}

// unknownOutcome returns the answer to a request that may have run.
func unknownOutcome(code, message string) *refusal {
	return &refusal{status: http.StatusBadGateway, code: code, message: message}
}

// responseWriter is what the caller gets.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// closing tells whether the connection is to be closed behind an answer.
	closing func() bool
	started bool
}

func newResponseWriter(w http.ResponseWriter, closing func() bool) *responseWriter {
	return &responseWriter{w: w, control: http.NewResponseController(w), closing: closing}
}

// writeHead writes the status and the headers.
func (a *responseWriter) writeHead(status int, header http.Header) {
	out := a.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if a.closing() {
		out.Set("Connection", "close")
	}
	a.started = true
	a.w.WriteHeader(status)
}

// writeRefusal writes an answer of the gateway's own.
func (a *responseWriter) writeRefusal(r *refusal) {
	header := http.Header{"Content-Type": {"application/json"}}
	if r.retryAfter > 0 {
		seconds := strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64)
		header.Set("Retry-After", seconds)
	}
	// The types below always encode.
	body, _ := json.Marshal(map[string]refusalBody{"error": {Code: r.code, Message: r.message}})
	header.Set("Content-Length", strconv.Itoa(len(body)))
	a.writeHead(r.status, header)
	_, _ = a.w.Write(body) // A caller that left is noticed by its context.
}

type refusalBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// writeAndFlush sends a part of the body at once.
func (a *responseWriter) writeAndFlush(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.control.Flush()
}

// abort breaks the connection off, so that the answer does not look whole.
func (a *responseWriter) abort() { panic(http.ErrAbortHandler) }
