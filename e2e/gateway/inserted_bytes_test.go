package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lastEvent is the id of the last event of a whole stream.
const lastEvent = 3

// faultyStream is a stream into which an upstream inserts bytes, in the first run of a request.
type faultyStream struct {
	inserted string
	// before is the id of the event before which the bytes come; lastEvent+1 is after the last.
	before int
	// within puts them between the lines of that event.
	within bool
	// chunked streams end with a last chunk, others with their connection.
	chunked bool
}

func scriptedEvent(id int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id) }

func scriptedEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(scriptedEvent(id))
	}
	return b.String()
}

// bodyAfter returns the events after an id, with the inserted bytes.
func (f *faultyStream) bodyAfter(last int) string {
	before := scriptedEvents(last+1, f.before-1)
	event := scriptedEvent(f.before)
	switch line := strings.Index(event, "\n") + 1; {
	case f.before > lastEvent:
		return before + f.inserted
	case f.within:
		return before + event[:line] + f.inserted + event[line:] + scriptedEvents(f.before+1, lastEvent)
	default:
		return before + f.inserted + scriptedEvents(f.before, lastEvent)
	}
}

// serve inserts bytes into the first stream of each request; later ones are sound.
func (f *faultyStream) serve(s *scriptedSite) serveConn {
	return func(c net.Conn, next func() (*http.Request, error)) error {
		for {
			r, err := next()
			if err != nil {
				return err
			}
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			// A resumed stream may have no events left. Only with chunks does that differ from
			// an upstream that crashed.
			body, chunked := scriptedEvents(last+1, lastEvent), true
			if s.recordRun(r) == 1 {
				body, chunked = f.bodyAfter(last), f.chunked
			}
			if err := writeStream(c, r, body, chunked); err != nil || !chunked {
				return err
			}
		}
	}
}

func writeStream(c net.Conn, r *http.Request, body string, chunked bool) error {
	framing := "Connection: close"
	if chunked {
		framing = "Transfer-Encoding: chunked"
		if body != "" {
			body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
		}
		body += "0\r\n\r\n"
	}
	return writeResponse(c, r, "Content-Type: text/event-stream\r\n"+framing, body)
}

// Guards against bytes of a faulty upstream that reach callers as an event of a stream that
// looks whole, although no run made them (ORDER).
var _ = Describe("a text/event-stream into which an upstream inserts bytes", Ordered, ContinueOnFailure, func() {
	var s *scriptedSite

	BeforeAll(func() {
		s = newScriptedSite()
		s.awaitRetries()
	})

	DescribeTable("is resumed with Last-Event-Id where it may be, and never looks whole otherwise",
		func(f faultyStream) {
			s.replaceUpstreams(f.serve(s), f.serve(s))

			resumed := s.post(resumablePath)
			Expect(resumed).To(Equal(scriptedAnswer{id: resumed.id, status: http.StatusOK, body: scriptedEvents(1, lastEvent)}))
			runs := s.runsOf(resumed.id)
			Expect(runs).To(HaveLen(2))
			if f.before > 1 {
				Expect(runs[1].lastEventID).To(Equal(strconv.Itoa(f.before-1)), "the last sound event")
			}

			once := s.post(streamPath)
			Expect(s.runsOf(once.id)).To(HaveLen(1))
			if f.before == 1 {
				Expect(once.status).To(Equal(http.StatusBadGateway), "no event was sound")
				return
			}
			Expect(once.broken).To(HaveOccurred(), "the stream must not look whole")
			Expect(once.body).To(Equal(scriptedEvents(1, f.before-1)), "the sound events before")
		},
		Entry("text before the first event", faultyStream{inserted: "garbage\r\n\r\n", before: 1, chunked: true}),
		Entry("the head of a response before the first event, ended by the connection",
			faultyStream{inserted: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\nContent-Length: 0\r\n\r\n", before: 1}),
		Entry("control bytes in the middle", faultyStream{inserted: "\x00\x17\x03\n\n", before: 2, chunked: true}),
		Entry("data without an id in the middle, ended by the connection", faultyStream{inserted: "data: inserted\n\n", before: 3}),
		Entry("the head of a response within an event",
			faultyStream{inserted: "HTTP/1.1 503 Service Unavailable\r\nNot-Run: full\r\n\r\n", before: 2, within: true, chunked: true}),
		Entry("text within an event, ended by the connection", faultyStream{inserted: "garbage", before: 3, within: true}),
		Entry("invalid UTF-8 after the last event", faultyStream{inserted: "data: \xff\xfe\n\n", before: lastEvent + 1, chunked: true}),
		Entry("text after the last event, ended by the connection", faultyStream{inserted: "garbage\n\n", before: lastEvent + 1}),
	)

	// The event before the one whose id goes back may be the inserted one.
	It("is broken off on every route where an id came before", func() {
		f := faultyStream{inserted: "id: 1\ndata: inserted\n\n", before: 3, chunked: true}
		s.replaceUpstreams(f.serve(s), f.serve(s))
		for _, path := range []string{resumablePath, streamPath} {
			answer := s.post(path)
			Expect(answer.broken).To(HaveOccurred(), "the stream must not look whole")
			Expect(answer.body).To(Equal(scriptedEvents(1, 2)), "the sound events before")
			Expect(s.runsOf(answer.id)).To(HaveLen(1))
		}
	})
})
