package answertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"
)

// UploadBytes is a size of request bodies that the buffers of both ends of a connection don't
// hold.
const UploadBytes = 16 << 20

// EarlyAnswer is a server that answers an upload before it has read it.
type EarlyAnswer struct {
	// Answer is written first. Each value of Proceed ends one connection by End then.
	Answer  string
	Proceed chan struct{}
	End     func(c *net.TCPConn, upload io.Reader)
}

// Start starts the server and returns its address.
func (a *EarlyAnswer) Start(t TB) string {
	t.Helper()
	ln := Listen(t)
	a.StartOn(ln)
	return ln.Addr().String()
}

// StartOn starts the server on a listener.
func (a *EarlyAnswer) StartOn(ln net.Listener) {
	ServeOn(ln, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, a.Answer)
		if _, open := <-a.Proceed; open {
			a.End(c.(*net.TCPConn), request.Body)
		}
	})
}

// ResetUpload resets the connection.
func ResetUpload(c *net.TCPConn, _ io.Reader) { Reset(c) }

// CloseUpload closes the connection with bytes of the upload unread.
func CloseUpload(c *net.TCPConn, upload io.Reader) {
	_, _ = io.CopyN(io.Discard, upload, UploadBytes/4)
	c.Close()
}

// EndThenReset ends the answer and resets the connection with the upload unread.
func EndThenReset(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	Reset(c)
}

// ReadUpload reads the upload and ends the connection.
func ReadUpload(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }

// EndThenRead ends the answer and reads the upload.
func EndThenRead(c *net.TCPConn, upload io.Reader) {
	_ = c.CloseWrite()
	ReadUpload(c, upload)
}

// uploadTimeout bounds how long AwaitNoUpload waits.
const uploadTimeout = 20 * time.Second

// AwaitNoUpload waits until no function with the given name is on the stack of a goroutine, as
// "pkg.(*Type).method", and reports whether that has come.
func AwaitNoUpload(writer string) bool {
	buf := make([]byte, 4<<20)
	for began := time.Now(); time.Since(began) < uploadTimeout; runtime.Gosched() {
		if !strings.Contains(string(buf[:runtime.Stack(buf, true)]), writer) {
			return true
		}
	}
	return false
}
