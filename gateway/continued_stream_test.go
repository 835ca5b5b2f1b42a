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
