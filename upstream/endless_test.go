package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/upstream"
)

const (
	// endlessCalls is the number of calls at once that get bytes without end.
	endlessCalls = 64
	// endlessGrowth bounds the memory that all of them take together, in bytes.
	endlessGrowth = 16 << 20
)

// endless sends start, then more again and again until the connection is closed.
func endless(start, more string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		block := []byte(strings.Repeat(more, 1+(16<<10)/len(more)))
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = c.Write(block)
		}
	}
}

// heapBytes returns the size of the objects on the heap.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// peakHeap returns the growth of the heap, in bytes, while f runs.
func peakHeap(f func()) uint64 {
	runtime.GC()
	before, peak := heapBytes(), uint64(0)
	var done atomic.Bool
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for !done.Load() {
			peak = max(peak, heapBytes())
			runtime.Gosched()
		}
	})
	f()
	done.Store(true)
	sampler.Wait()
	return peak - min(before, peak)
}

// TestEndlessHeadsEndTheCall guards against upstreams that send bytes without end
// where the head of an answer is due: the call ends by itself, in bounded memory.
func TestEndlessHeadsEndTheCall(t *testing.T) {
	shapes := map[string]func(net.Conn, *bufio.Reader){
		"line":           endless("HTTP/1.1 200 OK\r\nId: 1\r\nA: ", "a"),
		"status line":    endless("HTTP/1.1 200 ", "O"),
		"fields":         endless("HTTP/1.1 200 OK\r\n", "a:\r\n"),
		"interim heads":  endless("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"noise":          endless("", "\x17\x03"),
		"empty lines":    endless("", "\r\n"),
		"foreign answer": endless("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "a"),
		"foreign chunks": endless("HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
	}
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address := peer(t, shape)
			var failed atomic.Int64
			growth := peakHeap(func() {
				var calls sync.WaitGroup
				for range endlessCalls {
					calls.Go(func() {
						p := upstream.NewPool(address, upstream.PoolOptions{})
						defer p.Close()
						if _, err := p.Do(context.Background(), message("1")); err != nil {
							failed.Add(1)
						}
					})
				}
				calls.Wait()
			})
			g.Expect(failed.Load()).To(BeEquivalentTo(endlessCalls))
			g.Expect(growth).To(BeNumerically("<", endlessGrowth))
		})
	}
}

// TestLargeProperHeadsAreTaken guards against bounds that a proper answer meets.
func TestLargeProperHeadsAreTaken(t *testing.T) {
	g := NewWithT(t)
	head := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\n"
	for range 100 {
		head += "Field: " + strings.Repeat("v", 500) + "\r\n"
	}
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err == nil {
			_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nbody")
		}
	})
	g.Expect(exchangeOnce(pool(t, address), "1")).To(Equal("body"))
}

// TestTricklingHeadEndsAtTheDeadline guards against upstreams that send a head byte by
// byte: the time bound holds while they do.
func TestTricklingHeadEndsAtTheDeadline(t *testing.T) {
	g := NewWithT(t)
	address := peer(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, err := readRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nField: ")
		for sent := 0; err == nil && sent < 60<<10; sent++ {
			_, err = c.Write([]byte("v"))
		}
		for err == nil {
			_, err = r.ReadByte() // Until the caller closes.
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := pool(t, address).Do(ctx, message("1"))
	g.Expect(err).To(MatchError(upstream.ErrInterrupted))
	g.Expect(time.Since(began)).To(BeNumerically("<", 5*time.Second))
}
