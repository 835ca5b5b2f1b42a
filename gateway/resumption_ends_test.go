package gateway_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/retry"
)

// closesBetweenEvents is a break after which a stream may be resumed.
var closesBetweenEvents = breakPoint{chunked: true}

// respondRest answers with the rest of a stream.
func respondRest(s *server, c net.Conn, r *http.Request) { secondAnswers["the rest"].handle(s, c, r) }

// waitForClose holds an answer back until the gateway closes the connection.
func waitForClose(_ *server, c net.Conn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) }

// receiveBroken starts a gateway in front of servers of which the first is asked, and returns
// what its caller receives.
func receiveBroken(t *testing.T, change func(*gateway.Options), begun chan struct{}, whenBegun func(*node), servers ...*server) callerStream {
	t.Helper()
	g := NewWithT(t)
	n := startGateway(t, "g1", storeOf(definition(1), servers...), change)
	awaitReady(t, n)
	got, err := parseRaw(receiveRaw(t, n, "/resumable/", func() {
		if whenBegun != nil {
			whenBegun(n)
		}
		close(begun)
	}, "Time-Left", "1500"))
	g.Expect(err).NotTo(HaveOccurred())
	return got
}

// TestStreamThatIsNotResumedEndsVisibly guards against a refusal of the gateway itself that
// gets into a stream that has begun, or an end that makes it look whole.
func TestStreamThatIsNotResumedEndsVisibly(t *testing.T) {
	for name, b := range breakPoints {
		t.Run("no other upstream; "+name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			only := startServer(t, "e1", "engines", b.handle(begun))
			NewWithT(t).Expect(receiveBroken(t, nil, begun, nil, only)).To(Equal(brokenAfter(eventsBefore)))
			NewWithT(t).Expect(only.count()).To(Equal(1))
		})
		t.Run("over the retry budget; "+name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			first, second := startServer(t, "e1", "engines", b.handle(begun)), startServer(t, "e2", "engines", b.handle(begun))
			got := receiveBroken(t, func(o *gateway.Options) { o.Policy.Retry = retry.BudgetOptions{Window: 10 * time.Second} }, begun, nil, first, second)
			NewWithT(t).Expect(got).To(Equal(brokenAfter(eventsBefore)))
			NewWithT(t).Expect(first.count() + second.count()).To(Equal(1))
		})
		t.Run("not resumable; "+name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			pair := startBreakingPair(t, b, respondRest)
			got, err := parseRaw(receiveRaw(t, pair.node, "/stream/", func() { close(pair.begun) }))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(got).To(Equal(brokenAfter(eventsBefore)))
			g.Expect(pair.asked.Load()).To(BeEquivalentTo(1))
		})
	}
}

// TestStreamThatOnlyItsConnectionDelimitsEndsWithIt guards against a change of the rule that a
// stream without length and chunks is whole once its connection is closed between events.
func TestStreamThatOnlyItsConnectionDelimitsEndsWithIt(t *testing.T) {
	g := NewWithT(t)
	pair := startBreakingPair(t, breakPoint{}, respondRest)
	g.Expect(pair.receive(t)).To(Equal(wholeOf(eventsBefore)))
	g.Expect(pair.asked.Load()).To(BeEquivalentTo(1))
}

// TestRefusedConnectionEndsTheStreamVisibly guards against an upstream that accepts no
// connections while a stream is to be resumed there.
func TestRefusedConnectionEndsTheStreamVisibly(t *testing.T) {
	begun := make(chan struct{})
	servers := map[string]*server{}
	handle := func(s *server, c net.Conn, r *http.Request) {
		for _, other := range servers {
			if other.ID != s.ID {
				other.crash()
			}
		}
		closesBetweenEvents.handle(begun)(s, c, r)
	}
	for _, id := range []string{"e1", "e2"} {
		servers[id] = startServer(t, id, "engines", handle)
	}
	NewWithT(t).Expect(receiveBroken(t, nil, begun, nil, servers["e1"], servers["e2"])).To(Equal(brokenAfter(eventsBefore)))
}

// TestFullBuffersEndTheStreamVisibly guards against an answer that can't be buffered and is
// relayed into a stream that has begun.
func TestFullBuffersEndTheStreamVisibly(t *testing.T) {
	for name, status := range map[string]int{"a success": 200, "a failure": 500, "a client error": 404} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			handle := func(s *server, c net.Conn, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "" {
					closesBetweenEvents.handle(begun)(s, c, r)
					return
				}
				respond(c, r, status, strings.Repeat(foreignText, 10))
			}
			got := receiveBroken(t, func(o *gateway.Options) { o.MaxBufferedBytes = 64 }, begun, nil,
				startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle))
			NewWithT(t).Expect(got).To(Equal(brokenAfter(eventsBefore)))
		})
	}
}

// TestShutdownDoesNotTearAStream guards against a gateway that stops while a stream has broken
// off: the stream is finished in time, or ends visibly.
func TestShutdownDoesNotTearAStream(t *testing.T) {
	for name, c := range map[string]struct {
		second func(*server, net.Conn, *http.Request)
		want   callerStream
	}{
		"the other upstream has the rest": {respondRest, wholeOf(eventsInAll)},
		"the other upstream is silent":    {waitForClose, brokenAfter(eventsBefore)},
		"the other upstream refuses":      {secondAnswers["503, not run"].handle, brokenAfter(eventsBefore)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := make(chan struct{})
			handle := func(s *server, conn net.Conn, r *http.Request) {
				if r.Header.Get("Last-Event-Id") == "" {
					closesBetweenEvents.handle(begun)(s, conn, r)
					return
				}
				c.second(s, conn, r)
			}
			stop := func(n *node) {
				n.stop()
				NewWithT(t).Eventually(n.Ready, eventuallyTimeout).Should(BeFalse())
			}
			got := receiveBroken(t, func(o *gateway.Options) { o.Grace = 500 * time.Millisecond }, begun, stop,
				startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle))
			NewWithT(t).Expect(got).To(Equal(c.want))
		})
	}
}

// TestCallerDeadlineEndsTheStreamVisibly guards against a timeout response inside a stream
// that has begun.
func TestCallerDeadlineEndsTheStreamVisibly(t *testing.T) {
	begun := make(chan struct{})
	silent := startServer(t, "e1", "engines", func(s *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		chunk(c, events(1, eventsBefore))
		waitForClose(s, c, r)
	})
	NewWithT(t).Expect(receiveBroken(t, nil, begun, nil, silent)).To(Equal(brokenAfter(eventsBefore)))
}

// TestQuarantinedStreamEndsVisibly guards against a refusal of a request that crashes
// upstreams inside its own stream.
func TestQuarantinedStreamEndsVisibly(t *testing.T) {
	g := NewWithT(t)
	begun := make(chan struct{})
	crashing := func(s *server, c net.Conn, r *http.Request) {
		if r.URL.Path != "/resumable/" || r.Header.Get("Last-Event-Id") != "" {
			s.crash()
			return
		}
		closesBetweenEvents.handle(begun)(s, c, r)
	}
	servers := make([]*server, 8)
	for i := range servers {
		servers[i] = startServer(t, string(rune('a'+i)), "engines", crashing)
	}
	got := receiveBroken(t, nil, begun, func(n *node) {
		for range 4 {
			resp, _, err := send(n, http.MethodPost, "/resumable/", "prompt", "Last-Event-Id", "1")
			g.Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		refused := func() bool {
			return slices.ContainsFunc(n.State().Suspects, func(s gateway.Suspect) bool { return s.Refused })
		}
		g.Eventually(refused, eventuallyTimeout).Should(BeTrue(), "the request is quarantined")
	}, servers...)
	g.Expect(got).To(Equal(brokenAfter(eventsBefore)))
}

// TestBrokenStreamOfACallerWithoutChunksIsReset guards against a stream to an HTTP/1.0 caller,
// which only the end of its connection delimits, that broke off and looks whole.
func TestBrokenStreamOfACallerWithoutChunksIsReset(t *testing.T) {
	g := NewWithT(t)
	begun := make(chan struct{})
	n := startGatewayWith(t, startServer(t, "e1", "engines", closesBetweenEvents.handle(begun)))
	c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(eventuallyTimeout))
	_, err = io.WriteString(c, "POST /stream/ HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r1\r\nContent-Length: 6\r\n\r\nprompt")
	g.Expect(err).NotTo(HaveOccurred())
	var raw strings.Builder
	buf := make([]byte, 4<<10)
	for !strings.HasSuffix(raw.String(), event(eventsBefore)) {
		read, err := c.Read(buf)
		g.Expect(err).NotTo(HaveOccurred())
		raw.Write(buf[:read])
	}
	close(begun)
	_, err = io.ReadAll(c)
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}
