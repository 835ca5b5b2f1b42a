package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// readBufferBytes is the buffer size of one read.
	readBufferBytes = 32 << 10
	// maxQueuedChunks bounds the chunks that are buffered in one direction.
	maxQueuedChunks = 64
)

// chunk is the data of one read and the time of the read.
type chunk struct {
	data   []byte
	readAt time.Time
}

// proxyConn is a client connection and the connection to the target that it is
// forwarded to.
type proxyConn struct {
	link   *Link
	source string
	client *net.TCPConn
	target *net.TCPConn
	done   chan struct{}
	once   sync.Once
	// silent is set once data and the ends of the connections are dropped.
	silent atomic.Bool
}

func newProxyConn(link *Link, source string, client, target *net.TCPConn) *proxyConn {
	return &proxyConn{link: link, source: source, client: client, target: target, done: make(chan struct{})}
}

// reset closes both connections with an RST.
func (p *proxyConn) reset() {
	p.once.Do(func() {
		close(p.done)
		closeWithRST(p.client)
		closeWithRST(p.target)
	})
}

// silence drops all data from now on, and the ends of both connections.
func (p *proxyConn) silence() { p.silent.Store(true) }

// run forwards data in both directions until both have ended.
func (p *proxyConn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(p.target, p.client, true) })
	wg.Go(func() { p.forward(p.client, p.target, false) })
	wg.Wait()
}

// forward copies src to dst. EOF from src shuts down the write side of dst; an
// error resets both connections. Neither happens on a silent connection.
func (p *proxyConn) forward(dst, src *net.TCPConn, toTarget bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { p.read(src, chunks) })
	p.write(dst, chunks, toTarget)
	for range chunks {
		// Discard what was read until the reader returns with its connection.
		continue
	}
	wg.Wait()
}

func (p *proxyConn) read(src *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, readBufferBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], readAt: time.Now()}:
			case <-p.done:
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.resetUnlessSilent()
			return
		}
	}
}

func (p *proxyConn) resetUnlessSilent() {
	if !p.silent.Load() {
		p.reset()
	}
}

// write writes chunks to dst until the channel is closed, and then shuts down
// the write side of dst.
func (p *proxyConn) write(dst *net.TCPConn, chunks <-chan chunk, toTarget bool) {
	for {
		f, changed := p.link.currentFaults(p.source)
		if toTarget && f.halfClose {
			_ = dst.CloseWrite()
			return
		}
		select {
		case c, ok := <-chunks:
			if !ok {
				p.closeWrite(dst)
				return
			}
			if !p.writeChunk(dst, c) {
				return
			}
		case <-changed:
		case <-p.done:
			return
		}
	}
}

// writeChunk writes one chunk once it is due. It reports whether forwarding
// continues.
func (p *proxyConn) writeChunk(dst *net.TCPConn, c chunk) bool {
	if !p.waitUntilDue(c.readAt) {
		return false
	}
	if p.silent.Load() {
		return true
	}
	if _, err := dst.Write(c.data); err != nil {
		p.resetUnlessSilent()
		return false
	}
	return true
}

// closeWrite shuts down the write side of dst once the EOF is due.
func (p *proxyConn) closeWrite(dst *net.TCPConn) {
	if p.waitUntilDue(time.Now()) && !p.silent.Load() {
		_ = dst.CloseWrite()
	}
}

// waitUntilDue waits until data that was read at readAt may be written, given
// the link's delay and freeze. It returns false if the connection was reset.
func (p *proxyConn) waitUntilDue(readAt time.Time) bool {
	for {
		f, changed := p.link.currentFaults(p.source)
		due := time.Until(readAt.Add(f.delay))
		if !f.frozen && due <= 0 {
			return true
		}
		if f.frozen {
			// Closing changed ends the wait when the link is unfrozen.
			due = time.Hour
		}
		timer := time.NewTimer(due)
		select {
		case <-changed:
		case <-timer.C:
		case <-p.done:
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// closeWithRST closes a connection with an RST.
func closeWithRST(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
