package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// secondAnswer is the answer of an upstream that is asked to resume a stream.
type secondAnswer struct {
	handle func(*server, net.Conn, *http.Request)
	// want is what the caller receives in all.
	want callerStream
}

// foreignText is in each answer that must not reach the caller.
const foreignText = "text of another answer"

// failsWith returns an answer with a status and additional headers that ends the stream.
func failsWith(status int, body string, header ...string) secondAnswer {
	return secondAnswer{want: brokenAfter(eventsBefore), handle: func(_ *server, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s", status, http.StatusText(status), r.Header.Get("Request-Id"),
			strings.Join(append(header, ""), "\r\n"))
		if status == http.StatusNoContent || status == http.StatusNotModified {
			_, _ = io.WriteString(c, "\r\n")
			return
		}
		fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}}
}

// streams returns an answer that is a chunked stream with its end.
func streams(want callerStream, blocks ...string) secondAnswer {
	return secondAnswer{want: want, handle: func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		for _, block := range blocks {
			chunk(c, block)
		}
		lastChunk(c)
	}}
}

// sendsRaw returns an answer of fixed bytes behind which the connection is closed.
func sendsRaw(text string) secondAnswer {
	return secondAnswer{want: brokenAfter(eventsBefore), handle: func(_ *server, c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		c.Close()
	}}
}

const (
	signed      = "Signed-By: seal"
	eventStream = "Content-Type: text/event-stream"
)

// secondAnswers lists the answers by name. An upstream that is asked to resume after an event
// and answers with a complete stream without events says that this event was the last one, so
// that the stream is whole then.
var secondAnswers = map[string]secondAnswer{
	"the rest":                  streams(wholeOf(eventsInAll), events(3, eventsInAll)),
	"all events again":          streams(wholeOf(eventsInAll), events(1, eventsInAll)),
	"an empty stream":           streams(wholeOf(eventsBefore)),
	"only comments":             streams(callerStream{200, events(1, eventsBefore) + ": a\n\n: b\n\n", true}, ": a\n\n", ": b\n\n"),
	"a gap":                     streams(brokenAfter(eventsBefore), event(4), event(5)),
	"ids that go back":          streams(brokenAfter(4), event(3), event(4), event(3)),
	"the same id twice":         streams(brokenAfter(3), event(3), event(3)),
	"an error event":            streams(brokenAfter(eventsBefore), "event: error\ndata: "+foreignText+"\n\n"),
	"an event without an id":    streams(brokenAfter(eventsBefore), "data: "+foreignText+"\n\n"),
	"JSON in a stream":          streams(brokenAfter(eventsBefore), `{"error":"`+foreignText+`"}`+"\n\n"),
	"text without an end":       streams(brokenAfter(eventsBefore), foreignText),
	"a head inside the body":    streams(brokenAfter(eventsBefore), "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"),
	"half an event":             streams(brokenAfter(3), event(3), "id: 4\nda"),
	"another type":              failsWith(200, foreignText, signed, "Content-Type: application/json"),
	"another type, large":       failsWith(200, strings.Repeat(foreignText, 1000), signed, "Content-Type: text/plain"),
	"no type":                   failsWith(200, events(3, 4), signed),
	"no signature":              failsWith(200, events(3, 4), eventStream),
	"an encoding":               failsWith(200, events(3, 4), signed, eventStream, "Content-Encoding: gzip"),
	"201":                       failsWith(201, foreignText, signed),
	"204":                       failsWith(204, "", signed),
	"206":                       failsWith(206, events(3, 4), signed, eventStream),
	"302":                       failsWith(302, foreignText, signed, "Location: /elsewhere/"),
	"304":                       failsWith(304, "", signed),
	"400":                       failsWith(400, foreignText, signed),
	"400, a stream":             failsWith(400, events(3, 4), signed, eventStream),
	"401":                       failsWith(401, foreignText, signed),
	"404":                       failsWith(404, foreignText, signed),
	"404, large":                failsWith(404, strings.Repeat(foreignText, 1000), signed),
	"421":                       failsWith(421, foreignText),
	"421 with a signature":      failsWith(421, foreignText, signed),
	"429":                       failsWith(429, foreignText, signed),
	"429, not run":              failsWith(429, foreignText, "Unrun: 1"),
	"429, nothing else":         failsWith(429, foreignText),
	"503":                       failsWith(503, foreignText, signed),
	"503, not run":              failsWith(503, foreignText, "Unrun: 1"),
	"503, not run, signed":      failsWith(503, foreignText, "Unrun: 1", signed),
	"503, nothing else":         failsWith(503, foreignText),
	"500":                       failsWith(500, foreignText, signed),
	"500, a stream":             failsWith(500, events(3, 4), signed, eventStream),
	"502":                       failsWith(502, foreignText, signed),
	"502, large":                failsWith(502, strings.Repeat(foreignText, 1000), signed),
	"504":                       failsWith(504, foreignText, signed),
	"a refusal without an id":   sendsRaw("HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"),
	"a malformed head":          sendsRaw("HTTP/1.1 503\r\nno field\r\n\r\n" + foreignText),
	"bytes that are no head":    sendsRaw(foreignText + "\r\n\r\n"),
	"half a head":               sendsRaw("HTTP/1.1 503 Service"),
	"the end of the connection": sendsRaw(""),
	"another request's answer":  sendsRaw("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned-By: seal\r\nContent-Length: 22\r\n\r\n" + foreignText),
	"a reset": {want: brokenAfter(eventsBefore), handle: func(_ *server, c net.Conn, _ *http.Request) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}},
	"silence": {want: brokenAfter(eventsBefore), handle: func(_ *server, c net.Conn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1)) // Returns when the gateway closes the connection.
	}},
	"silence within the stream": {want: brokenAfter(3), handle: func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		chunk(c, event(3))
		_, _ = c.Read(make([]byte, 1))
	}},
	"an event and the end of the connection": {want: brokenAfter(3), handle: func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		chunk(c, event(3))
		c.Close()
	}},
	"an empty stream without a length": {want: brokenAfter(eventsBefore), handle: func(_ *server, c net.Conn, r *http.Request) {
		closeDelimitedHead(c, r)
		c.Close()
	}},
	"a short stream with a length": {want: brokenAfter(3), handle: func(_ *server, c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n%s\r\nContent-Length: 1000\r\n\r\n%s", r.Header.Get("Request-Id"), signed, eventStream, event(3))
		c.Close()
	}},
}
