package httpconn

import (
	"bytes"
	"io"
	"net"
	"testing"
)

// chunkedConn is a connection that delivers its bytes in reads of at most size bytes.
type chunkedConn struct {
	net.Conn
	remaining []byte
	size      int
}

func (c *chunkedConn) Read(p []byte) (int, error) {
	if len(c.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.remaining[:min(c.size, len(c.remaining))])
	c.remaining = c.remaining[n:]
	return n, nil
}

// FuzzAwaitHead checks that awaitHead reads at most one read beyond its limit, and that
// the bytes that it has read are then returned unchanged.
func FuzzAwaitHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody"), 3)
	f.Add([]byte("HTTP/1.1 102 Processing\n\nHTTP/1.1 200 OK\n\n"), 100)
	f.Add([]byte("noise"), 1)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		const limit = 512
		if size < 1 {
			return
		}
		source := &chunkedConn{remaining: bytes.Clone(sent), size: size}
		c := New(source)
		_, err := c.awaitHead(limit)
		if n := len(sent) - len(source.remaining); n > limit+headReadBytes {
			t.Fatalf("read %d bytes", n)
		}
		if err != nil {
			return
		}
		got, err := io.ReadAll(c.reader)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, sent) {
			t.Fatalf("got %q, want %q", got, sent)
		}
	})
}
