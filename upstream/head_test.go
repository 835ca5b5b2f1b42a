package upstream

import (
	"bytes"
	"io"
	"net"
	"testing"
)

// chunks is a connection on which bytes arrive in pieces of some size.
type chunks struct {
	net.Conn
	rest []byte
	size int
}

func (c *chunks) Read(p []byte) (int, error) {
	if len(c.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.rest[:min(c.size, len(c.rest))])
	c.rest = c.rest[n:]
	return n, nil
}

// FuzzAwaitHead checks that whatever arrives, no more than the bound and a read beyond it
// is taken, and that what is taken is what is read then.
func FuzzAwaitHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody"), 3)
	f.Add([]byte("HTTP/1.1 102 Processing\n\nHTTP/1.1 200 OK\n\n"), 100)
	f.Add([]byte("noise"), 1)
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		const most = 512
		if size < 1 {
			return
		}
		source := &chunks{rest: bytes.Clone(sent), size: size}
		c := newConn(source)
		err := c.awaitHead(most)
		if taken := len(sent) - len(source.rest); taken > most+headReadBytes {
			t.Fatalf("took %d bytes", taken)
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
