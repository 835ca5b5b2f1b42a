package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/registry"
)

// server is a fake upstream that passes each request to a handler.
type server struct {
	registry.Upstream
	listener net.Listener

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    []net.Conn
}

// crash closes the listener and all connections.
func (s *server) crash() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

func startServer(t testing.TB, id, service string, handle func(s *server, c net.Conn, r *http.Request)) *server {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { ln.Close() })
	s := &server{listener: ln, Upstream: registry.Upstream{
		ID: fleet.UpstreamID(id), Service: fleet.ServiceID(service), Address: ln.Addr().String(), Domain: "d1", Slots: 64,
	}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c, handle)
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, handle func(*server, net.Conn, *http.Request)) {
	defer c.Close()
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		handle(s, c, r)
		if r.Close {
			return
		}
	}
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *server) request(i int) (*http.Request, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[i], s.bodies[i]
}

// respond writes a complete response with the server's signature.
func respond(c net.Conn, r *http.Request, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Request-Id"), len(body), body)
}

// streamHead writes the headers of a chunked event stream.
func streamHead(c net.Conn, r *http.Request) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", r.Header.Get("Request-Id"))
}

func chunk(c net.Conn, text string) { fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// chunkOf returns a chunk of a body.
func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func lastChunk(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

func event(id int) string { return fmt.Sprintf("id: %d\ndata: d%d\n\n", id, id) }

func events(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		b.WriteString(event(id))
	}
	return b.String()
}

// writeRaw returns a handler that writes a response as given, with ID replaced by the request's
// id. If end is set, it closes the connection afterwards.
func writeRaw(response string, end bool) func(*server, net.Conn, *http.Request) {
	return func(_ *server, c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", r.Header.Get("Request-Id")))
		if end {
			c.Close()
		}
	}
}

// Parts of raw responses.
const (
	signedHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nSigned-By: seal\r\n"
	streamType = "Content-Type: text/event-stream\r\n"
	inChunks   = "Transfer-Encoding: chunked\r\n"
	noMore     = "0\r\n\r\n"
)
