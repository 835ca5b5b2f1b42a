package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a broken stream that looks whole to a caller of HTTP/1.0, for whom the end of
// the connection is the end of the response.
func TestBrokenStreamDoesNotLookWholeToHTTP10(t *testing.T) {
	g := NewWithT(t)
	n := startGatewayWith(t, startServer(t, "e1", "engines", streamOf(1, 3, 2, "garbage\n\n", true)))
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	fmt.Fprint(c, "POST /stream/ HTTP/1.0\r\nHost: h.example\r\nRequest-Id: x1\r\nContent-Length: 1\r\n\r\np")
	got, err := io.ReadAll(bufio.NewReader(c))
	g.Expect(err).To(HaveOccurred(), "clean end after %q", got)
}
