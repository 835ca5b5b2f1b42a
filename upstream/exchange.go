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

	"fulmarspindle.example/fulmarspindle/exchange"
)

// writeBufferSize holds the head of most requests. A body of at most this size is written
// before the response is read.
const writeBufferSize = 4 << 10

// Request is a request to an upstream.
type Request struct {
	Method string
	// URI is the path and query, unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Attribute tells from the head of a response whether it belongs to this request.
	Attribute func(status int, header http.Header) exchange.Attribution
	// ShouldSend, if set, is called before anything is sent, because dialing may have
	// taken long. If it returns false, nothing is sent.
	ShouldSend func() bool
}

// Exchange is a request whose response head was received. Close must be called. The body
// of a response without an id can't be read.
type Exchange struct {
	Response *http.Response

	pool *Pool
	conn *conn
	// smallBody is set if the request fits in the socket's send buffer, so that
	// writing it does not wait for the upstream.
	smallBody bool
	// stopCloseOnCancel stops the closing of conn at the end of the context.
	stopCloseOnCancel func() bool
	// bodyRead is set once the response body has been read to its end.
	bodyRead bool
}

// Do sends a request and waits for the head of its response. It returns ErrNotSent or
// ErrWithdrawn only if no byte of the request was sent, otherwise ErrInterrupted. When
// ctx ends, the connection is closed.
func (p *Pool) Do(ctx context.Context, r *Request) (*Exchange, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	c.bytesWritten = 0
	x := &Exchange{pool: p, conn: c, smallBody: len(r.Body) <= writeBufferSize}
	x.stopCloseOnCancel = context.AfterFunc(ctx, func() { c.Close() })
	x.send(r)
	reader := responseReader{conn: c, request: r}
	x.Response, err = reader.read() //nolint:bodyclose // Exchange.Close closes the connection or returns it to the pool instead.
	if err == nil {
		return x, nil
	}
	c.Close()
	writeErr := c.AwaitRequest()
	x.Close()
	if errors.Is(writeErr, ErrWithdrawn) {
		return nil, ErrWithdrawn
	}
	if writeErr != nil && c.bytesWritten == 0 {
		return nil, eris.Wrap(ErrNotSent, writeErr.Error())
	}
	return nil, interrupted(err)
}

// acquire returns a connection for a request. Nothing has arrived on it right before the
// request is sent: what arrives earlier is no response to it.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, isNew, err := p.get(ctx)
		if err != nil {
			return nil, err
		}
		if p.isClosed() || r.ShouldSend != nil && !r.ShouldSend() {
			p.putUnused(c)
			return nil, ErrWithdrawn
		}
		if c.isIdle() {
			return c, nil
		}
		p.discardUnsolicited(c)
		if isNew {
			return nil, eris.Wrap(ErrNotSent, errUnsolicited.Error())
		}
	}
}

// send writes the request. A large one is written in a goroutine of its own, because
// its response may arrive before the upstream has read it. send returns once the writing
// has begun, so that nothing that arrives earlier is read as the response.
func (x *Exchange) send(r *Request) {
	x.conn.BeginRequest()
	if x.smallBody {
		x.conn.EndRequest(r.write(x.conn))
		return
	}
	begun := make(chan struct{})
	go func() {
		err := x.checkBeforeLateSend(r)
		if err != nil {
			x.conn.Close()
		}
		close(begun)
		if err == nil {
			err = r.write(x.conn)
		}
		x.conn.EndRequest(err)
	}()
	<-begun
}

// checkBeforeLateSend repeats the checks before the sending in the goroutine that writes
// the request, because that may start late where CPU time is short.
func (x *Exchange) checkBeforeLateSend(r *Request) error {
	switch {
	case r.ShouldSend != nil && !r.ShouldSend():
		return ErrWithdrawn
	case x.conn.isIdle():
		return nil
	case x.conn.hasPendingBytes():
		countClosed(closedUnsolicited)
	}
	return errUnsolicited
}

// write writes the head and the body.
func (r *Request) write(w io.Writer) error {
	buffered := bufio.NewWriterSize(w, writeBufferSize)
	head := r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n"
	if _, err := buffered.WriteString(head); err != nil {
		return err
	}
	if err := r.Header.Write(buffered); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		length := "Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n"
		if _, err := buffered.WriteString(length); err != nil {
			return err
		}
	}
	if _, err := buffered.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := buffered.Write(r.Body); err != nil {
		return err
	}
	return buffered.Flush()
}

// Read reads the response body. io.EOF means that the body is complete; every other
// error is ErrInterrupted.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		x.bodyRead = true
		return n, io.EOF
	default:
		return n, interrupted(err)
	}
}

// CloseDelimited reports whether the end of the connection marks the end of the response
// body, so that a response that was cut off may look complete.
func (x *Exchange) CloseDelimited() bool {
	return isCloseDelimited(x.Response)
}

// RequestWritten reports whether the request has been written as a whole.
func (x *Exchange) RequestWritten() bool { return x.conn.RequestWritten() }

// EarlierRequests returns the number of requests that the connection carried before this
// one.
func (x *Exchange) EarlierRequests() int { return x.conn.requests }

// MarkCorrupt makes Close close the connection, because the response holds bytes that are not
// the upstream's: what follows on the connection can't be trusted either.
func (x *Exchange) MarkCorrupt() { x.conn.closeCause = closedCorrupt }

// Close returns the connection to the pool if the request was written, the response
// read to its end, no further bytes received, and the next response can be attributed;
// otherwise it closes the connection.
func (x *Exchange) Close() {
	canceled := !x.stopCloseOnCancel()
	if canceled || !x.bodyRead || !x.requestWritten() {
		x.pool.discard(x.conn)
		return
	}
	if x.conn.closeCause != "" && !x.Response.Close {
		countClosed(x.conn.closeCause)
	}
	if x.conn.closeCause != "" || x.conn.HasUnreadBytes() {
		x.pool.discard(x.conn)
		return
	}
	x.conn.reuseDeadline = responseReuseDeadline(time.Now(), x.Response, x.pool.options.IdleTimeout)
	if !time.Now().Before(x.conn.reuseDeadline) {
		x.pool.discard(x.conn)
		return
	}
	x.conn.requests++
	x.pool.put(x.conn)
}

// requestWritten reports whether the request has been written completely. For a small
// one it waits for the writer, because the response may be read before the writer
// reports its result.
func (x *Exchange) requestWritten() bool {
	if x.smallBody {
		return x.conn.AwaitRequest() == nil
	}
	return x.conn.RequestWritten()
}
