package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// insertedBytes are bytes that are no event of a stream, by what they look like. Those
// without an empty line of their own run into the event that follows.
var insertedBytes = map[string]string{
	"text and empty line":      "garbage\r\n\r\n",
	"control bytes":            "\x00\x17\x03\n\n",
	"invalid UTF-8":            "data: \xff\xfe\n\n",
	"text without a line end":  "garbage",
	"line without empty line":  "garbage\n",
	"data without an id":       "data: x\n\n",
	"id without data":          "id: 7\n\n",
	"id that is not a number":  "id: x\ndata: x\n\n",
	"two ids":                  "id: 7\nid: 8\ndata: x\n\n",
	"id that came before":      "id: 1\ndata: d1\n\n",
	"head of a response":       "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
	"error as JSON":            `{"error":{"code":"x"}}` + "\n\n",
	"event name without data":  "event: error\n\n",
	"part of an event":         "id: 2\nda",
	"field of another dialect": "weights: two\nid: 9\ndata: x\n\n",
}

// skipPlace reports whether inserted bytes can't be told from a sound event at a place: before
// the first event no id has come before.
func skipPlace(name string, insertBefore int) bool {
	return name == "id that came before" && insertBefore == 1
}

// streamPlaces names where bytes are inserted: before the event with this id of three.
var streamPlaces = map[string]int{"before the first event": 1, "in the middle": 2, "after the last event": 4}

// TestBytesThatAreNoEventDoNotReachCallers guards against an upstream that inserts bytes into
// a stream with intact framing: callers got them as an event, and a stream that looked whole.
func TestBytesThatAreNoEventDoNotReachCallers(t *testing.T) {
	for name, inserted := range insertedBytes {
		for place, insertBefore := range streamPlaces {
			if skipPlace(name, insertBefore) {
				continue
			}
			for _, chunked := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, chunked %t", name, place, chunked), func(t *testing.T) {
					g := NewWithT(t)
					faulty := startServer(t, "e1", "engines", streamOf(1, 3, insertBefore, inserted, chunked))
					n := startGatewayWith(t, faulty)
					resp, body, err := send(n, http.MethodPost, "/stream/", "prompt")
					if insertBefore == 1 {
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "nothing of the stream was relayed yet")
						return
					}
					g.Expect(err).To(HaveOccurred(), "the stream must not look whole")
					g.Expect(events(1, 3)).To(HavePrefix(body), "only whole events of the upstream")
					g.Expect(body).To(Equal(events(1, insertBefore-1)), "all events before the inserted bytes")
				})
			}
		}
	}
}

// TestResumedStreamHasNoBytesOfAFaultyUpstream guards against a stream that is not resumed, or
// is joined wrongly, after an upstream inserted bytes into it.
func TestResumedStreamHasNoBytesOfAFaultyUpstream(t *testing.T) {
	for name, inserted := range insertedBytes {
		for place, insertBefore := range streamPlaces {
			if skipPlace(name, insertBefore) {
				continue
			}
			t.Run(name+", "+place, func(t *testing.T) {
				g := NewWithT(t)
				var served atomic.Int64
				handle := func(s *server, c net.Conn, r *http.Request) {
					if served.Add(1) == 1 {
						streamOf(1, 3, insertBefore, inserted, true)(s, c, r)
						return
					}
					streamOf(1, 3, 0, "", true)(s, c, r)
				}
				n := startGatewayWith(t, startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle))
				resp, body, err := send(n, http.MethodPost, "/resumable/", "prompt")
				if name == "id that came before" {
					// The event before it may be the inserted one, so that nothing can follow.
					g.Expect(err).To(HaveOccurred())
					g.Expect(events(1, 3)).To(HavePrefix(body))
					return
				}
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal(events(1, 3)))
				g.Expect(served.Load()).To(BeEquivalentTo(2))
			})
		}
	}
}
