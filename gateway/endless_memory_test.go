package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/internal/answertest"
)

const (
	// endlessCallers is the number of concurrent callers of an upstream that sends without end.
	endlessCallers = 64
	// maxHeapGrowth limits the memory in bytes that their requests take together, with the ends of
	// the callers and the upstream, which are in the same process.
	maxHeapGrowth = 16 << 20
	// leaveAfterBytes is how much a caller reads of an answer without end before it leaves.
	leaveAfterBytes = 1 << 20
)

// endlessAnswers are responses without end, by their beginnings and what is repeated then. The
// route is that of the request.
var endlessAnswers = map[string]struct{ path, start, repeated string }{
	"head":             {"/safe/", signedHead, "a:\r\n"},
	"body":             {"/safe/", signedHead + "\r\n", "a"},
	"body in chunks":   {"/unsafe/", signedHead + inChunks + "\r\n", "1\r\na\r\n"},
	"body of a length": {"/unsafe/", signedHead + "Content-Length: 1099511627776\r\n\r\n", "a"},
	"event":            {"/stream/", signedHead + streamType + "\r\ndata: ", "a"},
	"event of lines":   {"/stream/", signedHead + streamType + "\r\nid: 1\n", "data: a\n"},
	"noise":            {"/stream/", signedHead + streamType + "\r\n", "\x17\x03"},
	"event elsewhere":  {"/safe/", signedHead + streamType + "\r\ndata: ", "a"},
}

// Guards against a gateway that runs out of memory, and so breaks off all its requests, because
// of an upstream whose answers never end (LOST).
func TestAnswersWithoutEndTakeBoundedMemory(t *testing.T) {
	for shape, sent := range endlessAnswers {
		t.Run(shape, func(t *testing.T) {
			g := NewWithT(t)
			block := []byte(strings.Repeat(sent.repeated, 1+(16<<10)/len(sent.repeated)))
			u := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) {
				_, _ = io.WriteString(c, strings.ReplaceAll(sent.start, "ID", r.Header.Get("Request-Id")))
				var err error
				for err == nil {
					_, err = c.Write(block)
				}
			})
			n := startGateway(t, "g1", storeOf(plainDefinition(), u), func(o *gateway.Options) {
				o.MaxBufferedBytes, o.MaxAnswerBytes, o.MaxConnections = 64<<20, 128<<10, 4*endlessCallers
			})
			awaitReady(t, n)
			growth := answertest.PeakHeapGrowth(func() {
				var callers sync.WaitGroup
				for range endlessCallers {
					callers.Go(func() { readAndLeave(t, n, sent.path) })
				}
				callers.Wait()
			})
			g.Expect(growth).To(BeNumerically("<", maxHeapGrowth))
		})
	}
}

// readAndLeave sends a request, reads the beginning of its answer and closes the connection.
func readAndLeave(t *testing.T, n *node, path string) {
	req, err := http.NewRequest(http.MethodPost, n.url+path, strings.NewReader("x"))
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "id")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	_, _ = io.CopyN(io.Discard, resp.Body, leaveAfterBytes)
}
