package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// streamOf writes a stream of events in a single response, chunked or delimited by the end
// of the connection, with bytes inserted before the event with the given id.
func streamOf(first, last, insertBefore int, inserted string, chunked bool) func(*server, net.Conn, *http.Request) {
	return func(_ *server, c net.Conn, r *http.Request) {
		write := func(text string) { _, _ = io.WriteString(c, text) }
		if chunked {
			streamHead(c, r)
			write = func(text string) { chunk(c, text) }
		} else {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("Request-Id"))
		}
		for id := max(first, resumedAfter(r)+1); id <= last; id++ {
			if id == insertBefore {
				write(inserted)
			}
			write(event(id))
		}
		if insertBefore > last {
			write(inserted)
		}
		if chunked {
			lastChunk(c)
		} else {
			c.Close()
		}
	}
}

func resumedAfter(r *http.Request) int {
	id, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // Absent in a request that is not resumed.
	return id
}

// TestLogTellsWhatAStreamHeld guards against logs that can't tell inserted bytes, a stream that
// was joined badly and bytes of another exchange on the connection apart.
func TestLogTellsWhatAStreamHeld(t *testing.T) {
	g := NewWithT(t)
	core, logs := observer.New(zap.InfoLevel)
	faulty := startServer(t, "e1", "engines", streamOf(1, 3, 2, "garbage\r\n\r\n", true))
	n := startGateway(t, "g1", storeOf(definition(1), faulty), func(o *gateway.Options) { o.Log = zap.New(core) })
	awaitReady(t, n)
	_, _, err := send(n, http.MethodPost, "/stream/", "prompt")
	_ = err // Whether the caller sees an error is not checked here.
	g.Eventually(func() int { return logs.FilterMessage("attempt ended").Len() }, eventuallyTimeout).Should(Equal(1))
	g.Expect(logs.FilterMessage("unsound stream").All()).To(HaveLen(1))
	found := logs.FilterMessage("unsound stream").All()[0].ContextMap()
	g.Expect(found).To(HaveKeyWithValue("request", "id-/stream/"))
	g.Expect(found).To(HaveKeyWithValue("upstream", "e1"))
	g.Expect(found).To(HaveKeyWithValue("excerpt", `"garbage\r\n\r\n"`))
	g.Expect(found).To(HaveKeyWithValue("events", BeEquivalentTo(1)))
	g.Expect(found).To(HaveKeyWithValue("earlier_requests", BeEquivalentTo(0)))
	ended := logs.FilterMessage("attempt ended").All()[0].ContextMap()
	g.Expect(ended).To(HaveKeyWithValue("unsound", BeEquivalentTo(1)))
	g.Expect(ended).To(HaveKeyWithValue("last_event", BeNumerically(">=", 1)))
}
