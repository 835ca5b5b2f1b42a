package gateway_test

import (
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against garbage in a stream that is taken for a response of another kind and relayed
// unchecked.
func TestInsertedBytesInAStreamOfAnotherType(t *testing.T) {
	body := inChunks + "\r\n" + chunkOf(event(1)+"garbage\n\n"+event(2)) + noMore
	for name, response := range map[string]string{
		"upper case":            signedHead + "Content-Type: Text/Event-Stream\r\n" + body,
		"no type":               signedHead + body,
		"another type":          signedHead + "Content-Type: application/json\r\n" + body,
		"status 206":            strings.Replace(signedHead, "200 OK", "206 Partial", 1) + streamType + body,
		"second of two types":   signedHead + "Content-Type: text/plain\r\n" + streamType + body,
		"cut, no type or frame": signedHead + "\r\n" + event(1) + "id: 2\nda",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			n := startGatewayWith(t, startServer(t, "e1", "engines", writeRaw(response, true)))
			resp, got, err := send(n, http.MethodPost, "/stream/", "prompt")
			g.Expect(got).NotTo(ContainSubstring("garbage"))
			g.Expect(err != nil || resp.StatusCode == http.StatusBadGateway).To(BeTrue(), "the stream must not look whole: %q", got)
		})
	}
}

// TestEventStreamOnAnotherRouteIsRelayedUnchanged guards against checks of events on routes whose
// responses are not promised to be numbered events.
func TestEventStreamOnAnotherRouteIsRelayedUnchanged(t *testing.T) {
	for name, body := range map[string]string{
		"event without data": "event: ping\n\n", "unknown field": "foo: x\n\n", "line without a colon": "foo\n\n",
		"id without data": "id: x\n\n", "no empty line": "data: x", "no event": "",
	} {
		for _, path := range []string{"/safe/", "/unsafe/"} {
			t.Run(name+" "+path, func(t *testing.T) {
				g := NewWithT(t)
				response := signedHead + streamType + inChunks + "\r\n"
				if body != "" {
					response += chunkOf(body)
				}
				n := startGatewayWith(t, startServer(t, "p1", "plain", writeRaw(response+noMore, false)))
				resp, got, err := send(n, http.MethodPost, path, "x")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				g.Expect(got).To(Equal(body))
			})
		}
	}
}
