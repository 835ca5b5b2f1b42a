//go:build review

package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// connectTimeout is the time that clients allow a new connection.
const connectTimeout = time.Second

// Client sends requests over one kept connection, one at a time.
type Client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

// NewClient returns a client of a gateway. It connects at its first request.
func NewClient(front string) *Client { return &Client{address: front} }

// Request is one client attempt.
type Request struct {
	ID     string
	Method string
	Path   string
	Key    string
	Body   string
	// Deadline is the time that the client waits for the whole answer.
	Deadline time.Duration
	// Header holds further header lines, each with its end of line.
	Header string
}

// Answer is what a client got. Status is zero if the connection ended without an answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// Err is why the answer is not whole.
	Err  error
	Sent time.Time
}

var requestCount atomic.Int64

// NewID returns the identifier of a client attempt.
func NewID() string { return fmt.Sprintf("9c41%012x", requestCount.Add(1)) }

// Connect opens the connection if there is none.
func (c *Client) Connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.address, connectTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Do sends a request and waits for the answer. The connection is kept if both were whole.
func (c *Client) Do(r Request) Answer {
	if err := c.Connect(); err != nil {
		return Answer{Err: err, Sent: time.Now()}
	}
	a := Answer{Sent: time.Now()}
	_ = c.conn.SetDeadline(a.Sent.Add(r.Deadline)) // A closed connection shows at the write.
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, Host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&head, "Key: %s\r\n", r.Key)
	}
	head.WriteString(r.Header)
	if r.Method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	if _, a.Err = io.WriteString(c.conn, head.String()+"\r\n"+r.Body); a.Err != nil {
		c.Close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		c.Close()
		return a
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(body), err
	if err != nil || resp.Close {
		c.Close()
	}
	return a
}
