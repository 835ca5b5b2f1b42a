//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for a server of a service. It serves one request at a time on a
// connection, answers 421 to a request for another instance, and records what runs.
type Server struct {
	ID       string
	Service  string
	Zone     string
	Address  string
	Slots    int
	Born     int64
	Draining bool
	// Handle answers a request; it returns false if the connection is to be closed.
	Handle func(c *ServerConn, r *http.Request, body []byte) bool

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	crashed  bool
}

// ServerConn is a connection at a server.
type ServerConn struct {
	net.Conn
	Server *Server
	// Late is written before the answer to the next request.
	Late []byte
}

var serverCount atomic.Int64

// NewServer starts a server.
func NewServer(service, zone string, slots int) (*Server, error) {
	return startServer("127.0.0.1:0", service, zone, slots)
}

func startServer(address, service, zone string, slots int) (*Server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: fmt.Sprintf("i-%06d", serverCount.Add(1)), Service: service, Zone: zone, Slots: slots, Address: ln.Addr().String(),
		Born: time.Now().UnixMilli(), listener: ln, conns: map[net.Conn]bool{},
	}
	return s, nil
}

// Serve accepts connections from now on.
func (s *Server) Serve() {
	go func() {
		for {
			conn, err := s.listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.serveConn(&ServerConn{Conn: conn, Server: s})
		}
	}()
}

// Crash ends the server at once: it closes its port and all its connections. It returns
// false if the server has crashed already.
func (s *Server) Crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return false
	}
	s.crashed = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	return true
}

func (s *Server) state() string {
	if s.Draining {
		return "draining"
	}
	return "ready"
}

func (s *Server) serveConn(c *ServerConn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
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
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
			continue
		}
		if len(c.Late) > 0 {
			_, _ = c.Write(c.Late) // A closed connection shows at the next write.
			c.Late = nil
		}
		if !s.Handle(c, r, body) {
			return
		}
	}
}

// Seal returns the signature of an answer of the server.
func (s *Server) Seal() string { return "3e1b." + s.ID }

// WholeAnswer returns the bytes of a whole answer to a request that the server has run.
func (c *ServerConn) WholeAnswer(r *http.Request, status int, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), r.Header.Get("Attempt-Id"), c.Server.Seal(), len(body), body)
}

// Shed is the answer of a server that is full, as the users' tool `fleetbench wire` shows
// it, with the length of its empty body.
const Shed = "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
