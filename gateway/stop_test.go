package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
)

const (
	stopGrace      = 4 * time.Second
	stopWithdrawal = 1200 * time.Millisecond
)

// stoppingSite is a gateway whose routes allow longer than its grace period. Its upstream
// answers at once until it is silent.
type stoppingSite struct {
	*node
	upstream *server
	silent   atomic.Bool
	// client keeps its connections open.
	client *http.Client
	// reached holds the ids of the requests that reached the upstream.
	reached sync.Map
}

func newStoppingSite(t *testing.T) *stoppingSite {
	t.Helper()
	site := &stoppingSite{}
	handle := func(s *server, c net.Conn, r *http.Request) {
		site.reached.Store(r.Header.Get("Request-Id"), true)
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			streamHead(c, r)
			chunk(c, event(1))
		}
		if site.silent.Load() {
			_, _ = c.Read(make([]byte, 1)) // Returns when the gateway closes the connection.
			return
		}
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			lastChunk(c)
			return
		}
		respondDone(s, c, r)
	}
	site.upstream = startServer(t, "i-1", "plain", handle)
	return startStoppingSite(t, site, site.upstream)
}

// startStoppingSite starts the gateway of a site with the given upstreams.
func startStoppingSite(t *testing.T, site *stoppingSite, upstreams ...*server) *stoppingSite {
	t.Helper()
	site.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	d := plainDefinition()
	for i := range d.Routes {
		d.Routes[i].Timeout, d.Routes[i].Objective = time.Minute, 0
	}
	site.node = startGateway(t, "g1", storeOf(d, upstreams...), func(o *gateway.Options) {
		o.Grace, o.Withdrawal, o.DefaultTimeout = stopGrace, stopWithdrawal, time.Minute
	})
	awaitReady(t, site.node)
	return site
}

// answer is what a caller got. status is zero if the connection ended without a response.
type answer struct {
	status     int
	retryAfter string
	whole      bool
	took       time.Duration
}

func (s *stoppingSite) send(id, method, path string) answer {
	began := time.Now()
	req, err := http.NewRequest(method, s.url+path, strings.NewReader("order"))
	if err != nil {
		return answer{}
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", id)
	// Without GetBody, net/http does not send the request again by itself.
	req.GetBody = nil
	resp, err := s.client.Do(req)
	if err != nil {
		return answer{took: time.Since(began)}
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), whole: err == nil, took: time.Since(began)}
}

// sendAll sends a request of each kind at the same time.
func (s *stoppingSite) sendAll(name string) map[string]answer {
	kinds := map[string]string{"/unsafe/": "POST", "/keyed/": "POST", "/safe/": "GET", "/stream/": "POST"}
	answers := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for path, method := range kinds {
		wg.Go(func() {
			id := name + path
			a := s.send(id, method, path)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
	}
	wg.Wait()
	return answers
}

// stopMoments are the moments after the beginning of a stop at which requests are sent: at once,
// in the withdrawal, around its end, and late in the grace period.
var stopMoments = map[string]time.Duration{
	"at once": 20 * time.Millisecond, "in the withdrawal": 500 * time.Millisecond, "before its end": stopWithdrawal - 50*time.Millisecond,
	"after its end": stopWithdrawal + 100*time.Millisecond, "late": 2500 * time.Millisecond, "too late": 3550 * time.Millisecond,
}

// sendDuringStop stops the gateway under requests of each kind, and sends more at every moment
// of the stop. It returns all answers.
func (s *stoppingSite) sendDuringStop(g *WithT) map[string]answer {
	answers := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	send := func(name string) {
		got := s.sendAll(name)
		mu.Lock()
		defer mu.Unlock()
		for id, a := range got {
			answers[id] = a
		}
	}
	before := s.upstream.count()
	wg.Go(func() { send("in flight") })
	if s.silent.Load() {
		g.Eventually(s.upstream.count, eventuallyTimeout).Should(Equal(before + 4))
	}
	s.stop()
	for name, at := range stopMoments {
		wg.Go(func() {
			time.Sleep(at)
			send(name)
		})
	}
	wg.Wait()
	g.Eventually(s.done, eventuallyTimeout).Should(BeClosed())
	return answers
}

// expectAnswered checks that each request that was read has an answer that is true. Late in
// the stop the gateway may have closed its listener before the request.
func (s *stoppingSite) expectAnswered(g *WithT, answers map[string]answer) {
	for id, a := range answers {
		_, reached := s.reached.Load(id)
		switch {
		case strings.HasSuffix(id, "/stream/") && reached:
			g.Expect(a.status).To(Equal(200), id)
		case reached && a.status != 200:
			g.Expect(a.status).To(Equal(502), "%s may have run", id)
		case !reached && a.status != 0:
			g.Expect(a.status).To(Equal(503), "%s has not run", id)
			g.Expect(a.retryAfter).NotTo(BeEmpty(), id)
			g.Expect(a.took).To(BeNumerically("<", time.Second), "%s is refused at once", id)
		case a.status == 0:
			g.Expect(reached).To(BeFalse(), "%s was passed on and got no answer", id)
		}
	}
}

// Guards against requests that a stopping gateway takes and passes on although they can't be
// answered before it ends, and cuts then without an answer (LOST): the upstream takes longer
// than the grace period, and it is not known that it does.
func TestStopUnderRequestsThatTakeLongerThanTheGrace(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newStoppingSite(t)
	s.silent.Store(true)
	answers := s.sendDuringStop(g)
	s.expectAnswered(g, answers)
	for id, a := range answers {
		_, reached := s.reached.Load(id)
		g.Expect(reached).To(Equal(strings.HasPrefix(id, "in flight/")), id)
		if strings.HasSuffix(id, "/stream/") {
			g.Expect(a.whole && reached).To(BeFalse(), "%s breaks off visibly", id)
		}
	}
}

// Guards against a stopping gateway that refuses what is usually answered in time because its
// route allows longer.
func TestStopServesWhatIsUsuallyQuick(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newStoppingSite(t)
	for range 5 {
		s.sendAll("before")
	}
	answers := s.sendDuringStop(g)
	s.expectAnswered(g, answers)
	for id, a := range answers {
		if early := strings.HasPrefix(id, "at once") || strings.HasPrefix(id, "in "); early {
			g.Expect(a.status).To(Equal(200), id)
			g.Expect(a.whole).To(BeTrue(), id)
		}
	}
}

// Guards against requests without an answer where the upstream, usually quick, goes silent just
// before the stop, and against taking any once callers are no longer sent to the gateway (LOST).
func TestStopBesideAnUpstreamThatGoesSilent(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	s := newStoppingSite(t)
	for range 5 {
		s.sendAll("before")
	}
	s.silent.Store(true)
	answers := s.sendDuringStop(g)
	s.expectAnswered(g, answers)
	_, reached := s.reached.Load("at once/unsafe/")
	g.Expect(reached).To(BeTrue())
	for id, a := range answers {
		moment, _, _ := strings.Cut(id, "/")
		_, reached := s.reached.Load(id)
		if stopMoments[moment] > stopWithdrawal {
			g.Expect(reached).To(BeFalse(), "%s is taken although it may not end in time", id)
			g.Expect(a.status).To(Or(Equal(503), BeZero()), id)
		}
	}
}

// Guards against a retry late in a stop that counts as one which ends in time because its first
// attempt was taken: such requests usually take longer than the time that is left.
func TestStopJudgesARetryByTheTimeThatIsLeft(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const usual, refusedAfter = 800 * time.Millisecond, 2900 * time.Millisecond
	var refusing atomic.Bool
	handle := func(s *server, c net.Conn, r *http.Request) {
		if !refusing.Load() {
			time.Sleep(usual)
			respondDone(s, c, r)
			return
		}
		time.Sleep(refusedAfter)
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n")
	}
	first, second := startServer(t, "i-1", "plain", handle), startServer(t, "i-2", "plain", handle)
	site := startStoppingSite(t, &stoppingSite{upstream: first}, first, second)
	for range 3 {
		site.sendAll("before")
	}
	refusing.Store(true)
	before := first.count() + second.count()
	site.stop()
	g.Eventually(site.Ready, eventuallyTimeout).Should(BeFalse())
	a := site.send("late retry", "POST", "/unsafe/")
	g.Expect(a.status).To(Equal(503))
	g.Expect(a.retryAfter).NotTo(BeEmpty())
	g.Expect(first.count()+second.count()).To(Equal(before+1), "it reaches no other upstream")
	g.Eventually(site.done, eventuallyTimeout).Should(BeClosed())
}
