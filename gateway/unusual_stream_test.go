package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSoundButUnusualStreamsAreRelayed guards against a check of events that breaks streams
// which the format allows.
func TestSoundButUnusualStreamsAreRelayed(t *testing.T) {
	long := strings.Repeat("x", 20<<10)
	streams := map[string]string{
		"comments":            ": keep-alive\n\nid: 1\ndata: a\n\n:\n\n: one\n: two\n\nid: 2\n: inside\ndata: b\n\n",
		"several data lines":  "id: 1\ndata: a\ndata: b\n\nid: 2\ndata\n\n",
		"steps between ids":   "id: 5\ndata: a\n\nid: 10\ndata: b\n\nid: 300\ndata: c\n\n",
		"field order":         "data: a\nid: 1\nevent: token\n\n",
		"weights change":      "weights: 3\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nweights: 4\nid: 3\ndata: c\n\n",
		"carriage returns":    "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
		"mixed line ends":     "id: 1\r\ndata: a\n\r\nid: 2\ndata: b\r\n\n",
		"only CR":             "id: 1\rdata: a\r\rid: 2\rdata: b\r\r",
		"no space":            "id:1\ndata:a\n\n",
		"reconnection time":   "retry: 100\n\nid: 1\ndata: a\nretry: 5\n\n",
		"byte order mark":     "\uFEFFid: 1\ndata: a\n\n",
		"more empty lines":    "\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n\n",
		"text beyond ASCII":   "id: 1\ndata: Größe 物\u2028\n\n",
		"a long event":        "id: 1\ndata: " + long + "\n\n",
		"no event at all":     "",
		"a colon in the data": "id: 1\ndata: event: x: y\n\n",
	}
	for name, stream := range streams {
		for _, size := range []int{1, 3, 1 << 20} {
			if len(stream)/size > 1000 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d bytes a chunk", name, size), func(t *testing.T) {
				g := NewWithT(t)
				engine := startServer(t, "e1", "engines", func(_ *server, c net.Conn, r *http.Request) {
					streamHead(c, r)
					for rest := stream; rest != ""; {
						n := min(size, len(rest))
						chunk(c, rest[:n])
						rest = rest[n:]
					}
					lastChunk(c)
				})
				n := startGatewayWith(t, engine)
				_, body, err := send(n, http.MethodPost, "/stream/", "prompt")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal(stream))
			})
		}
	}
}
