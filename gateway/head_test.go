package gateway_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a status code that can't be relayed ending the caller's connection instead of
// counting as a broken response: another upstream answers a safe request.
func TestStatusThatCannotBeRelayed(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int64
	handle := func(s *server, c net.Conn, r *http.Request) {
		if served.Add(1) == 1 {
			writeRaw("HTTP/1.1 099 X\r\nRequest-Id: ID\r\nSigned-By: seal\r\nContent-Length: 0\r\n\r\n", false)(s, c, r)
			return
		}
		respondDone(s, c, r)
	}
	n := startGatewayWith(t, startServer(t, "p1", "plain", handle), startServer(t, "p2", "plain", handle))
	resp, _, err := send(n, http.MethodGet, "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
}
