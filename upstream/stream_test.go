package upstream

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// tokens returns the events of a completion's stream from one number to another.
func tokens(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d\"}}]}\n\n", i)
	}
	return b.String()
}

const doneEvent = "data: [DONE]\n\n"

// streaming returns a handler that sends parts of a stream, each in a write of its own.
func streaming(parts ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		if offset := r.Header.Get(HeaderResumeOffset); offset != "" {
			w.Header().Set(HeaderResumedAt, offset)
		}
		for _, part := range parts {
			_, _ = io.WriteString(w, part)
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// TestBytesThatAreNoEventAreNotPassedOn guards against an upstream that inserts bytes into a
// stream with intact framing: callers got them in a stream that looked whole.
func TestBytesThatAreNoEventAreNotPassedOn(t *testing.T) {
	for name, inserted := range map[string]string{
		"text and empty line":     "garbage\r\n\r\n",
		"control bytes":           "\x00\x17\x03\n\n",
		"invalid UTF-8":           "data: \xff\xfe\n\n",
		"text without a line end": "garbage",
		"line":                    "garbage\n",
		"head of a response":      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"error as JSON":           `{"error":{"code":"x"}}` + "\n\n",
		"event without data":      "event: error\n\n",
		"id without data":         "id: 7\n\n",
	} {
		for place, whole := range map[string]string{"at the start": "", "in the middle": tokens(1, 2), "before the end": tokens(1, 4)} {
			for _, resumed := range []uint64{0, 7} {
				t.Run(fmt.Sprintf("%s, %s, resumed at %d", name, place, resumed), func(t *testing.T) {
					g := NewWithT(t)
					call := postCall("x")
					call.ResumeOffset = resumed
					got := &recordingSink{}
					client := newTestClient(t, streaming(whole, inserted, tokens(5, 6)+doneEvent))
					g.Expect(client.Do(t.Context(), call, got)).To(MatchError(ErrUnsound))
					g.Expect(got.body.String()).To(Equal(whole))
				})
			}
		}
	}
}

// TestStreamsOfUpstreamsArePassedOn guards against a check that breaks off, holds back or
// changes sound streams.
func TestStreamsOfUpstreamsArePassedOn(t *testing.T) {
	for name, stream := range map[string]string{
		"completion":  tokens(1, 5) + doneEvent,
		"comments":    ": ping\n\n" + tokens(1, 2) + ":\n\n" + doneEvent,
		"CRLF":        strings.ReplaceAll(tokens(1, 5)+doneEvent, "\n", "\r\n"),
		"named":       "event: message_start\ndata: {}\n\nevent: ping\ndata: {}\n\n",
		"large event": "data: " + strings.Repeat("x", 1<<20) + "\n\n" + doneEvent,
		"empty":       "",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := &recordingSink{}
			g.Expect(newTestClient(t, streaming(stream)).Do(t.Context(), postCall("x"), got)).To(Succeed())
			g.Expect(got.body.String()).To(Equal(stream))
		})
	}
}

// TestEventIsPassedOnBeforeTheNextOne guards against events that are held back until more of
// the stream arrives.
func TestEventIsPassedOnBeforeTheNextOne(t *testing.T) {
	g := NewWithT(t)
	received := make(chan struct{})
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		streaming(tokens(1, 1)+"data: h")(w, r)
		<-received
		_, _ = io.WriteString(w, "eld\n\n")
	})
	got := &recordingSink{}
	got.onData = func() {
		if got.body.String() == tokens(1, 1) {
			close(received)
		}
	}
	g.Expect(client.Do(t.Context(), postCall("x"), got)).To(Succeed())
	g.Expect(got.body.String()).To(Equal(tokens(1, 1) + "data: held\n\n"))
}

// TestStreamThatEndsWithinAnEventIsInterrupted guards against a cut stream that looks whole, and
// against a resumption in the middle of an event.
func TestStreamThatEndsWithinAnEventIsInterrupted(t *testing.T) {
	g := NewWithT(t)
	got := &recordingSink{}
	err := newTestClient(t, streaming(tokens(1, 2), "data: {\"cho")).Do(t.Context(), postCall("x"), got)
	g.Expect(err).To(MatchError(ErrInterrupted))
	g.Expect(got.body.String()).To(Equal(tokens(1, 2)))
}

// TestEndlessEventIsInterrupted guards against memory that an upstream takes with an event that
// has no end.
func TestEndlessEventIsInterrupted(t *testing.T) {
	g := NewWithT(t)
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		streaming("data: ")(w, r)
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, strings.Repeat("x", 64<<10)); err != nil {
				return
			}
		}
	})
	got := &recordingSink{}
	g.Expect(client.Do(t.Context(), postCall("x"), got)).To(MatchError(ErrUnsound))
	g.Expect(got.body.Len()).To(BeZero())
}

// TestOtherBodiesAreNotChecked guards against a check of what is no stream.
func TestOtherBodiesAreNotChecked(t *testing.T) {
	g := NewWithT(t)
	got := &recordingSink{}
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, "\x00\xff not an event")
	})
	g.Expect(client.Do(t.Context(), postCall("x"), got)).To(Succeed())
	g.Expect(got.body.String()).To(Equal("\x00\xff not an event"))
}
