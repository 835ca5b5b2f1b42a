package peer

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: version, type, flags, stream ID and length.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// maxRetainedBuffer limits the capacity in bytes of the buffer that an idle
// session retains.
const maxRetainedBuffer = 4 << 10

// coalescingConn writes the header and the body of a yamux data frame in one call.
// yamux writes them separately, which would cost two system calls, two packets and,
// with TLS, two records per message.
//
// It relies on two properties of yamux: only one goroutine writes, and a data header
// with a non-zero length is always followed by its body.
type coalescingConn struct {
	net.Conn
	// buffer holds a data header until its body is written.
	buffer []byte
}

// Write implements net.Conn.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		if !precedesBody(p) {
			return c.Conn.Write(p)
		}
		c.buffer = append(c.buffer, p...)
		return len(p), nil
	}
	header := len(c.buffer)
	c.buffer = append(c.buffer, p...)
	n, err := c.Conn.Write(c.buffer)
	c.buffer = c.buffer[:0]
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	return max(n-header, 0), err
}

// precedesBody reports whether p is the header of a data frame with a non-empty body.
func precedesBody(p []byte) bool {
	return len(p) == muxHeaderBytes && p[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(p[muxLengthOffset:]) > 0
}
