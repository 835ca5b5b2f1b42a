package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxUnrelatedResponses bounds the answers to other requests that are skipped
	// on one connection.
	maxUnrelatedResponses = 3
	// maxUnrelatedBodyBytes bounds the body of an answer that is skipped.
	maxUnrelatedBodyBytes = 1 << 20
	// writeBufferSize holds the head of most requests.
	writeBufferSize = 4 << 10
)

// Request is a request as it is sent.
type Request struct {
	Method string
	// URI is the path and query as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether an answer belongs to this request.
	Matches func(status int, header http.Header) bool
	// ShouldSend is asked before anything is sent, as a connection may have taken long: if
	// it returns false, nothing is sent. It may be nil.
	ShouldSend func() bool
}

// Exchange is a request whose answer's head has come. Close must be called.
type Exchange struct {
	Response *http.Response

	pool *Pool
	conn *conn
	// writeDone is closed when the request has been writeDone.
	writeDone chan error
	// smallBody requests fit the socket's buffer: writing them waits for nobody.
	smallBody         bool
	stopCloseOnCancel func() bool
	bodyRead          bool
}

// Do sends a request and waits for the head of its answer. It returns ErrNotSent or
// ErrWithdrawn only if no byte of it was sent, otherwise ErrBroken. When ctx ends,
// the connection is closed.
func (p *Pool) Do(ctx context.Context, m *Request) (*Exchange, error) {
	c, err := p.get(ctx)
	if err != nil {
		return nil, err
	}
	if p.isClosed() || m.ShouldSend != nil && !m.ShouldSend() {
		p.putUnused(c)
		return nil, ErrWithdrawn
	}
	c.bytesWritten = 0
	x := &Exchange{pool: p, conn: c, writeDone: make(chan error, 1), smallBody: len(m.Body) <= writeBufferSize}
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { c.Close() })
	x.send(m)
	x.Response, err = readMatchingResponse(c, m) //nolint:bodyclose // Close ends the connection or keeps it instead.
	if err == nil {
		return x, nil
	}
	c.Close()
	writeErr := <-x.writeDone
	x.Close()
	if errors.Is(writeErr, ErrWithdrawn) {
		return nil, ErrWithdrawn
	}
	if writeErr != nil && c.bytesWritten == 0 {
		return nil, eris.Wrap(ErrNotSent, writeErr.Error())
	}
	return nil, eris.Wrap(ErrInterrupted, err.Error())
}

// send writes a message. A long one is written beside the reader, as its answer may come
// before the upstream has read it. That begins when the writer has its turn, which may be
// late where processor time is short: whether it is wanted is asked again.
func (x *Exchange) send(m *Request) {
	if x.smallBody {
		x.writeDone <- m.write(x.conn)
		return
	}
	go func() {
		if m.ShouldSend != nil && !m.ShouldSend() {
			x.writeDone <- ErrWithdrawn
			x.conn.Close()
			return
		}
		x.writeDone <- m.write(x.conn)
	}()
}

// write sends the head and the body.
func (m *Request) write(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, writeBufferSize)
	head := m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n"
	if _, err := buffered.WriteString(head); err != nil {
		return err
	}
	if err := m.Header.Write(buffered); err != nil {
		return err
	}
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		length := "Content-Length: " + strconv.Itoa(len(m.Body)) + "\r\n"
		if _, err := buffered.WriteString(length); err != nil {
			return err
		}
	}
	if _, err := buffered.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := buffered.Write(m.Body); err != nil {
		return err
	}
	return buffered.Flush()
}

// readMatchingResponse reads heads until one answers the request. Answers to requests
// before it may come late and are skipped.
func readMatchingResponse(c *conn, m *Request) (*http.Response, error) {
	unrelated := 0
	for {
		resp, err := readFinalResponse(c, m.Method)
		if err != nil {
			return nil, err
		}
		if m.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		unrelated++
		if unrelated > maxUnrelatedResponses || resp.Close || !discardBody(resp) {
			return nil, eris.New("answer to another request")
		}
	}
}

// readFinalResponse reads the head of the next answer that is not an interim one.
func readFinalResponse(c *conn, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	left := maxHeadBytes
	for range maxInterimResponses + 1 {
		if err := c.awaitHead(left); err != nil {
			return nil, err
		}
		held := len(c.prefetched)
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 100 || resp.StatusCode >= 200 {
			return resp, nil
		}
		left -= held - len(c.prefetched) - c.reader.Buffered()
	}
	return nil, eris.Wrapf(errMalformedHead, "over %d interim answers", maxInterimResponses)
}

// discardBody reads the body of an answer to another request. The body is not closed:
// Close would read all that comes.
func discardBody(resp *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnrelatedBodyBytes+1))
	return err == nil && n <= maxUnrelatedBodyBytes
}

// Read reads the answer's body. io.EOF means that it is whole; every other error
// is ErrBroken.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		x.bodyRead = true
		return n, io.EOF
	default:
		return n, eris.Wrap(ErrInterrupted, err.Error())
	}
}

// Close keeps the connection if the answer was read whole and nothing else is on
// it, and closes it otherwise.
func (x *Exchange) Close() {
	canceled := !x.stopCloseOnCancel()
	if canceled || !x.bodyRead || !x.requestWritten() || x.conn.hasUnreadBytes() {
		x.pool.discard(x.conn)
		return
	}
	x.conn.reuseDeadline = responseReuseDeadline(time.Now(), x.Response, x.pool.options.IdleTimeout)
	if !time.Now().Before(x.conn.reuseDeadline) {
		x.pool.discard(x.conn)
		return
	}
	x.pool.put(x.conn)
}

// requestWritten reports whether the whole request has been written. The answer to a short one
// may be read before its writer had its turn to say so.
func (x *Exchange) requestWritten() bool {
	if x.smallBody {
		return <-x.writeDone == nil
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}
