package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"fulmarspindle.example/fulmarspindle/slowcaller"
)

// queueChunkBytes is the size of the pieces in which the unsent bytes of a response are
// kept and written. The bytes of a piece count as held until the whole piece is written.
const queueChunkBytes = 8 << 10

// slowCallerError reports a response that was aborted because its caller reads too
// slowly.
type slowCallerError struct{ slowcaller.Abort }

// Error implements error.
func (e *slowCallerError) Error() string {
	return "gateway: caller reads too slowly, over the bound: " + string(e.Cause)
}

// sendQueue writes a streamed response to its caller without waiting for the caller.
// Bytes that the socket does not accept at once are queued, and a goroutine that exists
// only while there are some writes them. Writes are not concurrent with each other.
type sendQueue struct {
	id     slowcaller.ResponseID
	shared *slowCallers
	conn   net.Conn
	raw    syscall.RawConn

	// writeAvailable is the method tryWrite, bound once to avoid an allocation for each
	// write. unwritten and writeErr are its argument and result.
	writeAvailable func(fd uintptr) bool
	unwritten      []byte
	writeErr       error

	mu     sync.Mutex
	chunks [][]byte
	// drained is closed when the queue has become empty or failed; nil while nothing
	// is queued.
	drained chan struct{}
	// err is why the response was aborted or could not be written.
	err error
}

// newSendQueue returns the queue of a connection; nil if the connection has no socket.
func newSendQueue(shared *slowCallers, conn net.Conn) *sendQueue {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	q := &sendQueue{id: shared.nextID(), shared: shared, conn: conn, raw: raw}
	q.writeAvailable = q.tryWrite
	return q
}

// write writes or queues p. After an abort it returns the reason.
func (q *sendQueue) write(p []byte) (int, error) {
	queued, err := q.state()
	if err != nil {
		return 0, err
	}
	written := 0
	if queued == nil {
		if written, err = q.writeNow(p); err != nil || written == len(p) {
			return written, err
		}
	}
	if err := q.enqueue(p[written:]); err != nil {
		return written, err
	}
	return len(p), nil
}

// state returns the channel that is closed once nothing is queued, nil if nothing is, and
// why the queue failed.
func (q *sendQueue) state() (<-chan struct{}, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.drained, q.err
}

// writeNow writes as much of p as the socket accepts without waiting.
func (q *sendQueue) writeNow(p []byte) (int, error) {
	q.unwritten, q.writeErr = p, nil
	err := q.raw.Write(q.writeAvailable)
	written := len(p) - len(q.unwritten)
	q.unwritten = nil
	if err != nil {
		return written, err
	}
	return written, q.writeErr
}

// tryWrite writes to the socket until it is full. It always returns true, so that its
// caller does not wait for the socket.
func (q *sendQueue) tryWrite(fd uintptr) bool {
	for len(q.unwritten) > 0 {
		n, err := unix.Write(int(fd), q.unwritten)
		switch {
		case err == nil:
			q.unwritten = q.unwritten[n:]
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return true
		default:
			q.writeErr = err
			return true
		}
	}
	return true
}

// enqueue queues p and starts the goroutine that writes it, if there is none.
func (q *sendQueue) enqueue(p []byte) error {
	q.shared.hold(q, len(p))
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		q.shared.end(q)
		return q.err
	}
	q.appendChunks(p)
	if q.drained == nil {
		q.drained = make(chan struct{})
		go q.drain()
	}
	return nil
}

// appendChunks copies p to the end of the queue. The caller holds mu.
func (q *sendQueue) appendChunks(p []byte) {
	for len(p) > 0 {
		last := len(q.chunks) - 1
		if last < 0 || len(q.chunks[last]) == cap(q.chunks[last]) {
			q.chunks = append(q.chunks, make([]byte, 0, queueChunkBytes))
			last++
		}
		n := min(len(p), cap(q.chunks[last])-len(q.chunks[last]))
		q.chunks[last] = append(q.chunks[last], p[:n]...)
		p = p[n:]
	}
}

// drain writes the queued bytes until there are none or the connection fails, at the
// latest at its write deadline.
func (q *sendQueue) drain() {
	for {
		chunk := q.takeChunk()
		if chunk == nil {
			return
		}
		_, err := q.conn.Write(chunk)
		switch {
		case err == nil:
			q.shared.release(q, len(chunk))
		case errors.Is(err, os.ErrDeadlineExceeded):
			q.fail(&slowCallerError{slowcaller.Abort{ID: q.id, Cause: slowcaller.CauseDeadline, HeldBytes: q.shared.end(q)}})
		default:
			q.fail(err)
		}
	}
}

// takeChunk removes and returns the first chunk. If there is none, it ends the draining
// and returns nil.
func (q *sendQueue) takeChunk() []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil || len(q.chunks) == 0 {
		close(q.drained)
		q.drained = nil
		return nil
	}
	chunk := q.chunks[0]
	q.chunks[0] = nil
	q.chunks = q.chunks[1:]
	return chunk
}

// fail drops the queued bytes and makes further writes fail with err, unless the queue
// has failed already.
func (q *sendQueue) fail(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err == nil {
		q.err = err
	}
	q.chunks = nil
	q.shared.end(q)
}

// abortQueued aborts another response. It has no effect if all bytes of that response were
// written since the decision, because its connection may serve the next request then.
func (q *sendQueue) abortQueued(decision slowcaller.Abort) {
	q.mu.Lock()
	queued := q.drained != nil
	if queued && q.err == nil {
		q.err = &slowCallerError{decision}
	}
	q.mu.Unlock()
	if queued {
		q.abort(decision)
	}
}

// abort ends the response and closes its connection. The peer receives a reset, and the
// socket's send buffer is freed at once.
func (q *sendQueue) abort(decision slowcaller.Abort) {
	q.fail(&slowCallerError{decision})
	if conn, ok := q.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0) // Without it, the connection is closed all the same.
	}
	q.conn.Close()
}

// awaitDrained waits until nothing is queued. It returns why the queue failed, or an
// error if ctx ends first.
func (q *sendQueue) awaitDrained(ctx context.Context) error {
	drained, err := q.state()
	if err != nil || drained == nil {
		return err
	}
	select {
	case <-drained:
	case <-ctx.Done():
		q.fail(context.Cause(ctx))
	}
	_, err = q.state()
	return err
}
