package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// eventsBefore is the number of events before the first upstream breaks off, and
	// eventsInAll the number of events of the whole stream.
	eventsBefore = 2
	eventsInAll  = 4
)

// callerStream is what a caller received on its socket.
type callerStream struct {
	status  int
	payload string
	// whole is set if the response has its end.
	whole bool
}

// brokenAfter is a stream that ends visibly after n events, and wholeOf one that is complete.
func brokenAfter(n int) callerStream { return callerStream{status: 200, payload: events(1, n)} }

func wholeOf(n int) callerStream {
	return callerStream{status: 200, payload: events(1, n), whole: true}
}

// receiveRaw sends a request on a socket and returns all bytes until the connection ends.
// begun is called once the events before the break have arrived.
func receiveRaw(t *testing.T, n *node, path string, begun func(), header ...string) string {
	t.Helper()
	return receiveUntil(t, n, path, event(eventsBefore), begun, header...)
}

// receiveUntil is receiveRaw for a caller that calls begun once it has received a text.
func receiveUntil(t *testing.T, n *node, path, text string, begun func(), header ...string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(eventuallyTimeout))
	request := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nConnection: close\r\nContent-Length: 6\r\n"
	for i := 0; i+1 < len(header); i += 2 {
		request += header[i] + ": " + header[i+1] + "\r\n"
	}
	_, _ = io.WriteString(c, request+"\r\nprompt")
	var raw strings.Builder
	var once sync.Once
	buf := make([]byte, 4<<10)
	for {
		read, err := c.Read(buf)
		raw.Write(buf[:read])
		if strings.Contains(raw.String(), text) {
			once.Do(begun)
		}
		if err != nil {
			return raw.String()
		}
	}
}

// parseRaw decodes a single response. It fails if other bytes follow it.
func parseRaw(raw string) (callerStream, error) {
	head, body, ok := strings.Cut(raw, "\r\n\r\n")
	fields := strings.Fields(head)
	if !ok || len(fields) < 2 || fields[0] != "HTTP/1.1" {
		return callerStream{}, fmt.Errorf("no head: %q", raw)
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil || strings.Count(head, "HTTP/1.") > 1 {
		return callerStream{}, fmt.Errorf("head: %q", head)
	}
	out := callerStream{status: status}
	if !strings.Contains(head, "Transfer-Encoding: chunked") {
		out.payload = body
		out.whole = strings.Contains(head, fmt.Sprintf("Content-Length: %d", len(body)))
		return out, nil
	}
	for body != "" {
		line, rest, _ := strings.Cut(body, "\r\n")
		size, err := strconv.ParseInt(line, 16, 32)
		if err != nil {
			return out, fmt.Errorf("chunk size %q", line)
		}
		if size == 0 {
			out.whole = rest == "\r\n"
			if !out.whole {
				return out, fmt.Errorf("bytes after the end: %q", rest)
			}
			return out, nil
		}
		data := rest[:min(int(size), len(rest))]
		out.payload += data
		body = strings.TrimPrefix(rest[len(data):], "\r\n")
	}
	return out, nil
}

// breakPoint is how the first upstream breaks off.
type breakPoint struct {
	chunked bool
	// inserted is written before the end, and reset resets the connection.
	inserted string
	reset    bool
}

var breakPoints = map[string]breakPoint{
	"chunked, reset":                        {chunked: true, reset: true},
	"chunked, reset within an event":        {chunked: true, inserted: "id: 3\nda", reset: true},
	"chunked, closed between events":        {chunked: true},
	"chunked, closed within an event":       {chunked: true, inserted: "id: 3\nda"},
	"chunked, garbage":                      {chunked: true, inserted: "garbage\n\n"},
	"chunked, a head":                       {chunked: true, inserted: "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n"},
	"close-delimited, reset":                {reset: true},
	"close-delimited, closed within events": {inserted: "id: 3\nda"},
	"close-delimited, garbage":              {inserted: "garbage\n\n"},
}

// handle returns the handler of the first upstream. It breaks off once begun is closed.
func (b breakPoint) handle(begun <-chan struct{}) func(*server, net.Conn, *http.Request) {
	return func(_ *server, c net.Conn, r *http.Request) {
		head, write := streamHead, chunk
		if !b.chunked {
			head, write = closeDelimitedHead, func(c net.Conn, text string) { _, _ = io.WriteString(c, text) }
		}
		head(c, r)
		write(c, events(1, eventsBefore))
		<-begun
		if b.inserted != "" {
			write(c, b.inserted)
		}
		if b.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
	}
}

// breakingPair is a gateway in front of two upstreams, of which the one that is asked first
// breaks off its stream.
type breakingPair struct {
	*node
	asked atomic.Int64
	begun chan struct{}
}

// startBreakingPair starts two upstreams and a gateway. second answers on the other upstream.
func startBreakingPair(t *testing.T, b breakPoint, second func(*server, net.Conn, *http.Request)) *breakingPair {
	pair := &breakingPair{begun: make(chan struct{})}
	first := b.handle(pair.begun)
	handle := func(s *server, c net.Conn, r *http.Request) {
		if pair.asked.Add(1) == 1 {
			first(s, c, r)
			return
		}
		second(s, c, r)
	}
	pair.node = startGatewayWith(t, startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle))
	return pair
}

// receive sends a request and returns what its caller received.
func (p *breakingPair) receive(t *testing.T, header ...string) (callerStream, error) {
	return parseRaw(receiveRaw(t, p.node, "/resumable/", func() { close(p.begun) }, header...))
}

// TestStreamThatBrokeOffIsJoinedOnlyWithItsContinuation guards against the answer of a second
// upstream that gets into a stream that has begun: its text, its head, or an end that makes the
// stream look whole.
func TestStreamThatBrokeOffIsJoinedOnlyWithItsContinuation(t *testing.T) {
	for name, b := range breakPoints {
		for answer, second := range secondAnswers {
			t.Run(name+"; "+answer, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				pair := startBreakingPair(t, b, second.handle)
				got, err := pair.receive(t, "Time-Left", "1500")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(got).To(Equal(second.want))
				g.Expect(pair.asked.Load()).To(BeEquivalentTo(2))
			})
		}
	}
}
