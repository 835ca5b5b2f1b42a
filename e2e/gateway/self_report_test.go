package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
)

const (
	// talkers is the number of servers that say something of themselves, each at a time of its own.
	talkers = 20
	// talkerServiceTime is how long a request takes at one. It spreads the load over all of them.
	talkerServiceTime = 60 * time.Millisecond
	// reportSeed seeds their times and pauses.
	reportSeed = 39
	// leaveWithin is how long after an answer that says that its server leaves a gateway may still
	// send to that.
	leaveWithin = 2500 * time.Millisecond
	// pauseSlack is how long after it was asked for a pause a gateway is bound by it, and
	// maxPausedRequests how many requests it may send in the rest of the pause.
	pauseSlack        = 500 * time.Millisecond
	maxPausedRequests = 2
	// gatewayHeader names the gateway that a request was sent to. It is passed on.
	gatewayHeader = "Sent-To"
)

// toldPause is a pause that a gateway was asked for.
type toldPause struct {
	from, until time.Time
	requests    int
}

// talker is a server that says in its answers that it leaves, or asks for pauses.
type talker struct {
	id string
	// registration is its sound entry.
	registration standin.Registration

	mu      sync.Mutex
	random  *rand.Rand
	leaving bool
	pausing bool
	// served counts the requests of each gateway, told is when each first got an answer that says
	// that the server leaves.
	served map[string]int
	told   map[string]time.Time
	pauses map[string][]*toldPause
	// violation describes the first request that should not have come.
	violation string
}

func (t *talker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	from := r.Header.Get(gatewayHeader)
	pause := t.receive(from)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	if pause > 0 {
		w.Header().Set("Not-Run", "full")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(talkerServiceTime)
	w.Header().Set("Server-Seal", t.id)
	if t.announce(from) {
		w.Header().Set("Server-Leaving", "1")
	}
	_, _ = io.WriteString(w, "done")
}

// receive records a request of a gateway and returns the pause to ask for, zero for none.
func (t *talker) receive(from string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.served[from]++
	if told, ok := t.told[from]; ok && now.Sub(told) > leaveWithin {
		t.report(fmt.Sprintf("%s sends to %s %v after it was told that it leaves", from, t.id, now.Sub(told)))
	}
	for _, p := range t.pauses[from] {
		if now.Before(p.from) || !now.Before(p.until) {
			continue
		}
		if p.requests++; p.requests > maxPausedRequests {
			t.report(fmt.Sprintf("%s sends request %d to %s, %v before the end of its pause", from, p.requests, t.id, p.until.Sub(now)))
		}
	}
	if !t.pausing || t.random.IntN(4) > 0 {
		return 0
	}
	pause := time.Duration(600+t.random.IntN(1500)) * time.Millisecond
	t.pauses[from] = append(t.pauses[from], &toldPause{from: now.Add(pauseSlack), until: now.Add(pause)})
	return pause
}

// report records a violation, unless there is one. The caller holds mu.
func (t *talker) report(violation string) {
	if t.violation == "" {
		t.violation = violation
	}
}

// announce reports whether the server says that it leaves, and records that it tells a gateway.
func (t *talker) announce(to string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, told := t.told[to]; t.leaving && !told {
		t.told[to] = time.Now()
	}
	return t.leaving
}

func (t *talker) set(leaving, pausing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.pausing = leaving, pausing
}

// restart makes it another incarnation, which has told nobody anything.
func (t *talker) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.pausing = false, false
	t.served, t.told, t.pauses = map[string]int{}, map[string]time.Time{}, map[string][]*toldPause{}
}

// state returns the number of gateways that it has served, and of those that it has told that it
// leaves or asked for a pause.
func (t *talker) state() (served, told int, violation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.served), len(t.told) + len(t.pauses), t.violation
}

// startTalkers starts the servers and registers them. They are registered as ready until the spec
// ends.
func (s *serverSite) startTalkers() []*talker {
	GinkgoHelper()
	var list []*talker
	for i := range talkers {
		t := &talker{
			id: fmt.Sprint("t-", i), random: rand.New(rand.NewPCG(reportSeed, uint64(i))),
			served: map[string]int{}, told: map[string]time.Time{}, pauses: map[string][]*toldPause{},
		}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := &http.Server{Handler: t}
		go func() { _ = server.Serve(ln) }()
		DeferCleanup(server.Close)
		t.registration = scriptedRegistration(ln.Addr().String())
		Expect(s.Put(context.Background(), standin.ServersKind, t.id, t.registration)).To(Succeed())
		list = append(list, t)
	}
	return list
}

// runTalkers runs begin for each server at a time of its own, under load, and checks what each
// receives for a time after the last one. Then a server that says nothing is used.
func runTalkers(begin func(*talker), lasting time.Duration) {
	GinkgoHelper()
	s, _ := newServerSite(harness.GatewayFleetOptions{Gateways: 5, FailureDomains: 3, Proxied: true},
		standin.ServiceConfig{Name: deskService, MaxConnections: 90}, 0)
	list := s.startTalkers()
	s.startLoad(loadInterval)
	for _, t := range list {
		Eventually(func() int { served, _, _ := t.state(); return served }, specTimeout).Should(BeNumerically(">=", 1), t.id)
	}
	random := rand.New(rand.NewPCG(reportSeed, talkers))
	for _, t := range list {
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		begin(t)
	}
	time.Sleep(lasting)
	total := 0
	for _, t := range list {
		_, told, violation := t.state()
		Expect(violation).To(BeEmpty())
		total += told
	}
	Expect(total).To(BeNumerically(">=", talkers), "gateways that were told something")
	s.expectUsed(s.startServer("s-1", "z1", 0))
}

var _ = Describe("servers that say something of themselves", func() {
	// Guards against requests to a server that has said that it leaves, while the store says that
	// it is ready (DRAIN).
	It("get no new requests of five gateways once they have said that they leave", func() {
		runTalkers(func(t *talker) { t.set(true, false) }, leaveWithin+time.Second)
	})

	// Guards against requests to a server in the pause that it has asked a gateway for (BUDGET).
	It("get no more than two requests of each of five gateways in the pauses that they ask for", func() {
		runTalkers(func(t *talker) { t.set(false, true) }, 3*time.Second)
	})
})
