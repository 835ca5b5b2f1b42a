// Package answertest has stand-ins of servers for tests of what reads HTTP/1.1 responses: they
// write given bytes, whole or not, and measure what these cost their reader.
package answertest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// endlessBlockBytes is the least size of the writes of an endless response.
const endlessBlockBytes = 16 << 10

// TB is the part of testing.TB that the stand-ins use, which Ginkgo's has too.
type TB interface {
	Helper()
	Cleanup(func())
	Fatal(args ...any)
}

var _ TB = testing.TB(nil)

// Listen returns a listener on a loopback address.
func Listen(t TB) net.Listener {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Serve starts a server that calls serve for each connection and closes it afterwards. It
// returns the server's address.
func Serve(t TB, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	ln := Listen(t)
	ServeOn(ln, serve)
	return ln.Addr().String()
}

// ServeOn is Serve on a listener, until that is closed.
func ServeOn(ln net.Listener, serve func(net.Conn, *bufio.Reader)) {
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
}

// Respond returns a server that reads one request with its body, writes response and ends the
// connection.
func Respond(response string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			_, _ = io.WriteString(c, response)
		}
	}
}

// RespondEndlessly returns a server that reads one request with its body and writes start, then
// repeated until the connection is closed.
func RespondEndlessly(start, repeated string) func(net.Conn, *bufio.Reader) {
	block := []byte(strings.Repeat(repeated, 1+endlessBlockBytes/len(repeated)))
	return func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(block)
		}
	}
}

// readRequest reads a request and its body.
func readRequest(r *bufio.Reader) error {
	request, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err
}

// Reset closes a connection at once with a reset.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// heapMeter measures the heap without allocating on it.
type heapMeter []metrics.Sample

func newHeapMeter() heapMeter { return heapMeter{{Name: "/memory/classes/heap/objects:bytes"}} }

// bytes returns the size of the objects on the heap.
func (m heapMeter) bytes() uint64 {
	metrics.Read(m)
	return m[0].Value.Uint64()
}

// PeakHeapGrowth returns the peak growth of the heap in bytes while f runs, with what has not been
// collected yet.
func PeakHeapGrowth(f func()) uint64 {
	meter := newHeapMeter()
	runtime.GC()
	before, peak := meter.bytes(), uint64(0)
	var done atomic.Bool
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for !done.Load() {
			peak = max(peak, meter.bytes())
			runtime.Gosched()
		}
	})
	f()
	done.Store(true)
	sampler.Wait()
	return peak - min(before, peak)
}
