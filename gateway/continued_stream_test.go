package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a second run that is appended to the events of a first one where nothing can
// be resumed: an event stream without ids on a safe route.
func TestStreamOfASafeRouteIsNotJoined(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	handle := func(s *server, c net.Conn, r *http.Request) {
		first := served.Add(1) == 1
		end := noMore
		if first {
			end = ""
		}
		writeRaw(signedHead+streamType+inChunks+"\r\n"+chunkOf("data: a\n\ndata: b\n\n")+end, first)(s, c, r)
	}
	n := startGatewayWith(t, startServer(t, "p1", "plain", handle), startServer(t, "p2", "plain", handle))
	_, body, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(strings.Count(body, "data: a")).To(BeNumerically("<=", 1), "body %q, error %v", body, err)
}

// Guards against events that the caller has from an earlier request, named in its
// Last-Event-Id, coming again from an upstream that begins anew.
func TestEventsBeforeTheCallersPositionAreNotRelayed(t *testing.T) {
	g := NewWithT(t)
	n := startGatewayWith(t, startServer(t, "e1", "engines", writeRaw(signedHead+streamType+inChunks+"\r\n"+chunkOf(events(1, 3))+noMore, false)))
	_, body, err := send(n, http.MethodPost, "/resumable/", "prompt", "Last-Event-Id", "2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(event(3)))
}

// Guards against a stream with missing events that looks whole: an inserted event with an id far
// ahead moves the position from which the stream is resumed, and a resumed stream may begin
// behind a gap.
func TestResumedStreamWithMissingEventsDoesNotLookWhole(t *testing.T) {
	for name, c := range map[string]struct{ first, second string }{
		"id far ahead":        {first: event(1) + event(900) + event(2), second: ""},
		"resumed after a gap": {first: events(1, 2), second: events(5, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var served atomic.Int64
			handle := func(s *server, conn net.Conn, r *http.Request) {
				head := signedHead + streamType + inChunks + "\r\n"
				if served.Add(1) == 1 {
					writeRaw(head+chunkOf(c.first), true)(s, conn, r)
					return
				}
				if c.second != "" {
					head += chunkOf(c.second)
				}
				writeRaw(head+noMore, false)(s, conn, r)
			}
			n := startGatewayWith(t, startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle))
			_, body, err := send(n, http.MethodPost, "/resumable/", "prompt")
			g.Expect(err).To(HaveOccurred(), "whole at the caller: %q", body)
		})
	}
}
