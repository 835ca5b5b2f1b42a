package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
)

// readBufferBytes holds the head of most responses.
const readBufferBytes = 4 << 10

// Conn is a connection to an HTTP/1.1 server. It carries one request at a time. Its responses
// are read either by ReadResponse or by a Transport.
type Conn struct {
	net.Conn
	// reader is used by ReadResponse and by the bodies that it returns.
	reader *bufio.Reader
	// prefetched holds the bytes that were received and that Read has not returned.
	prefetched []byte
	request    requestState

	// expectsHead is set while the next bytes are to be the head of a response to a Transport,
	// of which head is the state.
	expectsHead atomic.Bool
	head        transportHead
}

// New returns a connection whose responses are read from c.
func New(c net.Conn) *Conn {
	out := &Conn{Conn: c}
	out.reader = bufio.NewReaderSize(out, readBufferBytes)
	return out
}

// HasUnreadBytes reports whether bytes were received that follow the last response that
// ReadResponse has returned.
func (c *Conn) HasUnreadBytes() bool { return c.reader.Buffered() > 0 || len(c.prefetched) > 0 }

// Read implements io.Reader. It returns the prefetched bytes first, then those of the
// connection. io.EOF means that the server has ended what it sends, and not that the connection
// broke off.
func (c *Conn) Read(p []byte) (int, error) {
	if c.expectsHead.Load() {
		return c.readHead(p)
	}
	if len(c.prefetched) > 0 {
		return c.takePrefetched(p), nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 && c.expectsHead.Load() {
		// The request was sent while this call waited for its response.
		c.prefetched = append(c.prefetched, p[:n]...)
		return c.readHead(p)
	}
	if n == 0 && errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// takePrefetched moves prefetched bytes to p and returns their number.
func (c *Conn) takePrefetched(p []byte) int {
	n := copy(p, c.prefetched)
	c.prefetched = c.prefetched[n:]
	if len(c.prefetched) == 0 {
		c.prefetched = nil
	}
	return n
}
