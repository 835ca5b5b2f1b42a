package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/registry"
)

// reply is what a caller got.
type reply struct {
	status     int
	retryAfter float64
}

func callPath(t *testing.T, n *node, method, path, id string) reply {
	t.Helper()
	req, err := http.NewRequest(method, n.url+path, strings.NewReader("order "+id))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // A stream may break off.
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return reply{status: resp.StatusCode, retryAfter: seconds}
}

// leavingResponses are responses of an upstream that leaves. ID stands for the request's id.
var leavingResponses = map[string]string{
	"a success":            signedHead + "Leaving: 1\r\nContent-Length: 4\r\n\r\ndone",
	"a failure":            "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: ID\r\nSigned-By: seal\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	"a refusal":            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: ID\r\nUnrun: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	"a refusal without id": "HTTP/1.1 503 Service Unavailable\r\nUnrun: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n",
	"another's response":   "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nSigned-By: seal\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n" + signedHead + "Content-Length: 4\r\n\r\ndone",
	"one that closes":      signedHead + "Leaving: 1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone",
}

// Guards against new requests at an upstream that has said in any response that it leaves, while
// its registration says nothing (DRAIN).
func TestUpstreamThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	for name, response := range leavingResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			leaver := startServer(t, "i-1", "plain", writeRaw(response, false))
			store := storeOf(plainDefinition(), leaver)
			n := startGateway(t, "g1", store, nil)
			awaitReady(t, n)
			callPath(t, n, "GET", "/safe/", "first")
			heard := leaver.count()
			g.Expect(heard).To(BeNumerically(">=", 1))

			refused := callPath(t, n, "GET", "/safe/", "alone")
			g.Expect(refused.status).To(Equal(http.StatusServiceUnavailable), "no other upstream is left")
			g.Expect(refused.retryAfter).To(BeNumerically(">", 0))
			stays := startServer(t, "i-2", "plain", respondDone)
			store.register(stays.Upstream, false)
			g.Eventually(func() int { return callPath(t, n, "GET", "/safe/", "next").status }, eventuallyTimeout).Should(Equal(200))
			for i := range 20 {
				g.Expect(callPath(t, n, "POST", "/unsafe/", strconv.Itoa(i)).status).To(Equal(200))
			}
			g.Expect(leaver.count()).To(Equal(heard))
			g.Expect(n.State().Services["plain"].Upstreams["i-1"].Leaving).NotTo(BeNil())
		})
	}
}

// Guards against an upstream that gets no requests after it has started again under the same name.
func TestUpstreamThatLeftIsUsedAfterItsRestart(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	var leaves atomic.Bool
	leaves.Store(true)
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) {
		extra := ""
		if leaves.Load() {
			extra = "Leaving: 1\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSigned-By: seal\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), extra)
	})
	store := storeOf(plainDefinition(), s)
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	g.Expect(callPath(t, n, "GET", "/safe/", "first").status).To(Equal(200))
	g.Expect(callPath(t, n, "GET", "/safe/", "second").status).To(Equal(503))
	leaves.Store(false)
	restarted := s.Upstream
	restarted.StartedUnixMs = time.Now().UnixMilli() + 1
	store.register(restarted, false)
	g.Eventually(func() int { return callPath(t, n, "GET", "/safe/", "again").status }, eventuallyTimeout).Should(Equal(200))
}

// healthStub is a gateway.HealthChecker.
type healthStub struct{ healthy atomic.Bool }

func (h *healthStub) CheckHealth(_ context.Context, _ registry.Upstream, path string) error {
	if path != "/health" || !h.healthy.Load() {
		return errStoreUnavailable
	}
	return nil
}

// Guards against an upstream that is lost for good because it once said that it leaves.
func TestUpstreamThatServesAfterAllIsUsedAgain(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := startServer(t, "i-1", "plain", writeRaw(leavingResponses["a success"], false))
	health := &healthStub{}
	n := startGateway(t, "g1", storeOf(plainDefinition(), s), func(o *gateway.Options) { o.Health = health })
	awaitReady(t, n)
	g.Expect(callPath(t, n, "GET", "/safe/", "first").status).To(Equal(200))
	g.Expect(callPath(t, n, "GET", "/safe/", "second").status).To(Equal(503))
	health.healthy.Store(true)
	g.Eventually(func() int { return callPath(t, n, "GET", "/safe/", "again").status }, eventuallyTimeout).Should(Equal(200))
	g.Expect(s.count()).To(Equal(2))
}

// pausingServer refuses requests and asks for a pause while it is full.
type pausingServer struct {
	*server
	full atomic.Bool
	// length is the pause that it asks for.
	length time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	// refusedAt is when it last asked for a pause.
	refusedAt time.Time
}

func startPausing(t *testing.T, id string, length time.Duration) *pausingServer {
	s := &pausingServer{length: length}
	s.full.Store(true)
	s.server = startServer(t, id, "plain", s.handle)
	return s
}

func (s *pausingServer) handle(_ *server, c net.Conn, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	refuse := s.full.Load()
	if refuse {
		s.refusedAt = time.Now()
	}
	s.mu.Unlock()
	if refuse {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nUnrun: 1\r\nPause: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), s.length)
	} else {
		time.Sleep(100 * time.Millisecond)
		respondDone(nil, c, r)
	}
}

// lastRefusal returns when the server last asked for a pause.
func (s *pausingServer) lastRefusal() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedAt
}

// arrivedWithin returns the number of requests that arrived in a pause.
func (s *pausingServer) arrivedWithin(from, to time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrivals {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// Guards against requests to an upstream that has asked for a pause (BUDGET), against refusals that
// name another time than its end, and against all callers that come back then reaching it at once.
func TestUpstreamThatAsksForAPauseGetsNoRequestsMeanwhile(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	// milliseconds is the precision of Retry-After in seconds.
	const length, milliseconds = 4 * time.Second, 0.001
	s := startPausing(t, "i-1", length)
	n := startGateway(t, "g1", storeOf(plainDefinition(), s.server), nil)
	awaitReady(t, n)
	g.Expect(callPath(t, n, "POST", "/unsafe/", "first").status).To(Equal(503))
	asked, heardBy := s.lastRefusal(), time.Now()
	s.full.Store(false)
	for i := range 10 {
		most := time.Until(heardBy.Add(length)).Seconds()
		got := callPath(t, n, "GET", "/safe/", "in the pause "+strconv.Itoa(i))
		g.Expect(got.status).To(Equal(503))
		least := time.Until(asked.Add(length)).Seconds()
		g.Expect(got.retryAfter).To(And(BeNumerically(">=", least-milliseconds), BeNumerically("<=", most+milliseconds)))
	}
	g.Expect(n.State().Services["plain"].Upstreams["i-1"].Pause).NotTo(BeNil())
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			id := "after it " + strconv.Itoa(i)
			g.Eventually(func() int { return callPath(t, n, "GET", "/safe/", id).status }, eventuallyTimeout, 20*time.Millisecond).Should(Equal(200))
		})
	}
	wg.Wait()
	g.Expect(s.arrivedWithin(asked, asked.Add(length))).To(BeZero())
	resumed := asked.Add(length)
	s.mu.Lock()
	first := s.arrivals[1]
	s.mu.Unlock()
	g.Expect(s.arrivedWithin(resumed, first.Add(100*time.Millisecond))).To(Equal(1), "one request finds out")
	g.Expect(n.State().Services["plain"].Upstreams["i-1"].Pause).To(BeNil())
}

// Guards against requests that are refused although another upstream takes them, and against a
// paused upstream that counts as failing.
func TestRequestsGoElsewhereDuringAPause(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	paused := startPausing(t, "i-1", time.Minute)
	others := startServer(t, "i-2", "plain", respondDone)
	n := startGateway(t, "g1", storeOf(plainDefinition(), paused.server, others), nil)
	awaitReady(t, n)
	for i := range 40 {
		g.Expect(callPath(t, n, "POST", "/unsafe/", strconv.Itoa(i)).status).To(Equal(200), "request %d", i)
	}
	g.Expect(paused.count()).To(Equal(1))
	g.Expect(n.State().Services["plain"].Upstreams[fleet.UpstreamID("i-1")].Ejected).To(BeFalse())
}
