package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of one read.
	chunkBytes = 32 << 10
	// queuedChunks bounds the chunks on their way in one direction.
	queuedChunks = 64
)

// chunk is a piece of a stream and the time at which it was read.
type chunk struct {
	data []byte
	at   time.Time
}

// pair is one forwarded connection.
type pair struct {
	link   *Link
	source string
	client *net.TCPConn
	target *net.TCPConn
	done   chan struct{}
	once   sync.Once
}

func newPair(link *Link, source string, client, target *net.TCPConn) *pair {
	return &pair{link: link, source: source, client: client, target: target, done: make(chan struct{})}
}

// reset closes both connections by RST.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.done)
		abort(p.client)
		abort(p.target)
	})
}

// run forwards in both directions until both have ended.
func (p *pair) run() {
	var wg sync.WaitGroup
	wg.Go(func() { p.forward(p.target, p.client, true) })
	wg.Go(func() { p.forward(p.client, p.target, false) })
	wg.Wait()
}

// forward copies src to dst. An end of src becomes an end of dst; a failure
// resets the pair.
func (p *pair) forward(dst, src *net.TCPConn, toTarget bool) {
	chunks := make(chan chunk, queuedChunks)
	var wg sync.WaitGroup
	wg.Go(func() { p.read(src, chunks) })
	p.write(dst, chunks, toTarget)
	for range chunks {
		// The reader ends with its connection; what it read is dropped.
		continue
	}
	wg.Wait()
}

func (p *pair) read(src *net.TCPConn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			select {
			case chunks <- chunk{data: buf[:n], at: time.Now()}:
			case <-p.done:
				return
			}
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			p.reset()
			return
		}
	}
}

// write passes chunks on until they end, and then ends dst.
func (p *pair) write(dst *net.TCPConn, chunks <-chan chunk, toTarget bool) {
	for {
		f, changed := p.link.state(p.source)
		if toTarget && f.halfClose {
			_ = dst.CloseWrite()
			return
		}
		select {
		case c, ok := <-chunks:
			if !ok {
				p.end(dst)
				return
			}
			if !p.pass(dst, c) {
				return
			}
		case <-changed:
		case <-p.done:
			return
		}
	}
}

// pass writes one chunk when it is due.
func (p *pair) pass(dst *net.TCPConn, c chunk) bool {
	if !p.await(c.at) {
		return false
	}
	if _, err := dst.Write(c.data); err != nil {
		p.reset()
		return false
	}
	return true
}

// end passes on the end of a stream when it is due.
func (p *pair) end(dst *net.TCPConn) {
	if p.await(time.Now()) {
		_ = dst.CloseWrite()
	}
}

// await waits until bytes that were read at a time may pass. It reports
// whether the pair still runs.
func (p *pair) await(at time.Time) bool {
	for {
		f, changed := p.link.state(p.source)
		due := time.Until(at.Add(f.delay))
		if !f.frozen && due <= 0 {
			return true
		}
		if f.frozen {
			// The change that ends the freeze wakes this up.
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

// abort closes a connection by RST.
func abort(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
