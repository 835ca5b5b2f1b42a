package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// TestResponseThatBegunIsNotJoinedWithAnotherRun guards against a response that can't be
// resumed and broke off after its beginning was relayed: the answer of a second upstream was
// appended to it.
func TestResponseThatBegunIsNotJoinedWithAnotherRun(t *testing.T) {
	large := strings.Repeat("first run ", 1000)
	head := func(c net.Conn, r *http.Request, status int, contentType string) {
		fmt.Fprintf(c, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Type: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
			status, r.Header.Get("Request-Id"), contentType)
	}
	firsts := map[string]struct {
		path              string
		status            int
		contentType, body string
	}{
		"large body":                       {"/safe/", 200, "text/plain", large},
		"large error of a resumable route": {"/resumable/", 404, "text/plain", large},
		"events without ids":               {"/safe/", 200, "text/event-stream", strings.Repeat("data: first\n\n", eventsBefore)},
		"events with ids":                  {"/safe/", 200, "text/event-stream", events(1, eventsBefore)},
		"comments and an event":            {"/safe/", 200, "text/event-stream", ": first\n\ndata: first\n\n"},
		"large event":                      {"/safe/", 200, "text/event-stream", "data: " + large + "\n\n"},
	}
	seconds := map[string]func(*server, net.Conn, *http.Request){
		"a stream":          streams(callerStream{}, "data: second\n\n").handle,
		"a stream with ids": streams(callerStream{}, events(1, eventsInAll)).handle,
		"an empty stream":   streams(callerStream{}).handle,
		"a body":            func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 200, "second") },
		"a large body":      func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 200, strings.Repeat("second", 1000)) },
		"a failure":         func(_ *server, c net.Conn, r *http.Request) { respond(c, r, 500, "second") },
		"a refusal without id": func(_ *server, c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 X\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n")
		},
	}
	for name, first := range firsts {
		for answer, second := range seconds {
			t.Run(name+"; "+answer, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				var asked atomic.Int64
				relayed := make(chan struct{})
				handle := func(s *server, c net.Conn, r *http.Request) {
					if asked.Add(1) > 1 {
						second(s, c, r)
						return
					}
					head(c, r, first.status, first.contentType)
					chunk(c, first.body)
					<-relayed
					c.Close()
				}
				service := map[string]string{"/safe/": "plain", "/resumable/": "engines"}[first.path]
				n := startGatewayWith(t, startServer(t, "p1", service, handle), startServer(t, "p2", service, handle))
				raw := receiveUntil(t, n, first.path, first.body[len(first.body)-10:], func() { close(relayed) })
				got, err := parseRaw(raw)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(callerStream{status: first.status, payload: first.body}))
				g.Expect(asked.Load()).To(BeEquivalentTo(1), "another run can't continue the response")
			})
		}
	}
}
