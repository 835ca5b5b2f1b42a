package gateway_test

import (
	"expvar"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

// slowCallerCount is the number of slow callers of a load scenario.
const slowCallerCount = 64

// gapCount returns the number of recorded gaps between reads of streams.
func gapCount() int {
	_, after, _ := strings.Cut(expvar.Get("gateway_event_gap_ms").String(), `"count":`)
	digits, _, _ := strings.Cut(after, ",")
	count, _ := strconv.Atoi(digits)
	return count
}

// slowCallerAborts returns the counter of responses aborted for a cause.
func slowCallerAborts(cause string) int64 {
	count, ok := expvar.Get("gateway_slow_caller_aborts").(*expvar.Map).Get(cause).(*expvar.Int)
	if !ok {
		return 0
	}
	return count.Value()
}

// firstEventTime returns the median time to the first event of healthy callers that send
// one request after the other.
func firstEventTime(t *testing.T, n *node) time.Duration {
	t.Helper()
	var times []time.Duration
	for range 21 {
		began := time.Now()
		req, err := http.NewRequest(http.MethodPost, n.url+"/stream/healthy", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Request-Id", "healthy")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
		times = append(times, time.Since(began))
		resp.Body.Close()
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// heldSampler records the most bytes held until stop is called.
func heldSampler(n *node) (stop func() int64) {
	done := make(chan struct{})
	var most int64
	var sampler sync.WaitGroup
	sampler.Go(func() {
		ticker := time.NewTicker(time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				most = max(most, n.State().SlowCallers.HeldBytes)
			}
		}
	})
	return func() int64 {
		close(done)
		sampler.Wait()
		return most
	}
}

// sendEventsUntilClosed sends a small event every 10 ms.
func sendEventsUntilClosed(c net.Conn, first int) {
	var err error
	for id := first; err == nil; id++ {
		time.Sleep(10 * time.Millisecond)
		text := event(id)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
}

// TestSlowCallersDoNotDelayHealthyOnes is the scenario of 64 slow callers on one gateway,
// whose engines go on sending: the time to the first event of healthy callers is within 10%
// of that without them, and the memory held is within its bound.
func TestSlowCallersDoNotDelayHealthyOnes(t *testing.T) {
	g := NewWithT(t)
	const prefill = 100 * time.Millisecond
	engine := startServer(t, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "healthy") {
			sendLargeEvents(c, r, 1, 120)
			sendEventsUntilClosed(c, 121)
			return
		}
		time.Sleep(prefill) // The engine reads the prompt.
		streamHead(c, r)
		chunk(c, events(1, 3))
		lastChunk(c)
	})
	n, logs := startSlowCallerGateway(t, nil, engine)
	alone := firstEventTime(t, n)
	stop := heldSampler(n)
	for range slowCallerCount {
		dialSlowCaller(t, n, "/stream/120", "", "Time-Left: 9000")
	}
	g.Eventually(func() int { return engine.count() }, eventuallyTimeout).Should(BeNumerically(">=", slowCallerCount))
	g.Eventually(func() int64 { return n.State().SlowCallers.HeldBytes }, eventuallyTimeout).Should(BeNumerically(">", heldTotalBytes/2))
	beside := firstEventTime(t, n)
	t.Logf("first event of healthy callers: alone %v, beside %d slow callers %v", alone, slowCallerCount, beside)
	g.Expect(beside).To(BeNumerically("<=", alone+alone/10))
	g.Expect(stop()).To(BeNumerically("<=", heldTotalBytes))
	for _, line := range brokenOff(logs, "slow_caller") {
		g.Expect(line["request"]).To(Equal("id-/stream/120"))
	}
}

// TestAllCallersSlowAtOnce is the scenario in which no caller reads for a while: memory
// stays within its bound, and each response is delivered whole or visibly broken off.
func TestAllCallersSlowAtOnce(t *testing.T) {
	g := NewWithT(t)
	n, logs := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", respondLargeEvents))
	stop := heldSampler(n)
	var callers []*slowCaller
	for range slowCallerCount {
		callers = append(callers, dialSlowCaller(t, n, "/stream/120", ""))
	}
	progress := func() string {
		return fmt.Sprint("requests sent: ", logs.FilterMessage("request sent").Len(), ", refused: ", logs.FilterMessage("request refused").All())
	}
	g.Eventually(func() int { return logs.FilterMessage("attempt ended").Len() }, eventuallyTimeout).Should(Equal(slowCallerCount), progress)
	whole, broken := 0, 0
	for _, caller := range callers {
		body, err := caller.readAll()
		if err != nil {
			broken++
			continue
		}
		g.Expect(body).To(Equal(largeEvents(1, 120)))
		whole++
	}
	g.Expect(whole).To(BeNumerically(">", 0))
	g.Expect(broken).To(Equal(len(brokenOff(logs, "slow_caller"))))
	g.Expect(broken).To(BeNumerically(">", 0))
	g.Expect(stop()).To(BeNumerically("<=", heldTotalBytes))
	expectNothingHeld(t, n)
}

// TestSlowlySentBodiesAreBounded guards against callers that announce large bodies and
// send little of them: memory is taken as bytes arrive, other callers are served, and
// the requests end at their deadline.
func TestSlowlySentBodiesAreBounded(t *testing.T) {
	g := NewWithT(t)
	const announced, maxHeapGrowth = 2 << 20, 24 << 20
	plain := startServer(t, "p1", "plain", respondDone)
	n, _ := startSlowCallerGateway(t, func(o *gateway.Options) { o.MaxBodyBytes = announced }, plain)
	runtime.GC()
	before := heapBytes()
	var callers []*slowCaller
	for range slowCallerCount {
		caller := dialSlowCaller(t, n, "/safe/", "")
		g.Expect(caller.readAll()).To(Equal("done"))
		caller.announce("/safe/", announced, "Time-Left: 1000")
		callers = append(callers, caller)
	}
	g.Eventually(func() int64 { return n.State().BufferedBytes }, eventuallyTimeout).Should(BeNumerically(">=", slowCallerCount<<10))
	runtime.GC()
	g.Expect(heapBytes()).To(BeNumerically("<", before+maxHeapGrowth))
	_, body, err := send(n, "GET", "/safe/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("done"))
	for _, caller := range callers {
		body, err := caller.readAll()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(ContainSubstring("body_not_read"))
	}
	expectNothingHeld(t, n)
	g.Expect(plain.count()).To(Equal(slowCallerCount + 1))
}

// announce sends the head of a request and the first kilobyte of its body.
func (c *slowCaller) announce(path string, length int, header string) {
	head := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: slow\r\n" + header +
		"\r\nContent-Length: " + strconv.Itoa(length) + "\r\n\r\n"
	_, _ = c.Write([]byte(head + strings.Repeat("x", 1<<10)))
}

func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// TestResponseInVerySmallPiecesIsRelayed guards against pieces that are taken for events or
// lost.
func TestResponseInVerySmallPiecesIsRelayed(t *testing.T) {
	g := NewWithT(t)
	n, _ := startSlowCallerGateway(t, nil, startServer(t, "i-1", "engines", func(_ *server, c net.Conn, r *http.Request) {
		streamHead(c, r)
		for _, b := range events(1, 40) {
			chunk(c, string(b))
		}
		lastChunk(c)
	}))
	_, body, err := send(n, "POST", "/stream/", "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal(events(1, 40)))
}
