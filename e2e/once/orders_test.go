package once

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/e2e/harness"
	"fulmarspindle.example/fulmarspindle/e2e/standin"
	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	// attemptTimeout is how long a caller waits for one answer.
	attemptTimeout = 8 * time.Second
	// maxAttempts bounds how often a caller sends an order.
	maxAttempts = 3
	// orderCostMs is the time that an order takes at its service.
	orderCostMs = 10
)

// order is one order and the answers to all attempts at it.
type order struct {
	key     string
	body    []byte
	answers []harness.Response
}

func newOrder(key string, costMs int) *order {
	return &order{key: key, body: fmt.Appendf(nil, `{"cost_ms":%d,"key":%q}`, costMs, key)}
}

// send sends the order once through a router.
func (o *order) send(ctx context.Context, client *harness.Client) harness.Response {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := client.CallService(ctx, http.MethodPost, string(harness.PlainService), "/orders", o.key, o.body)
	o.answers = append(o.answers, answer)
	return answer
}

// check holds the answers of the order against the count of its runs.
func (o *order) check(runs int) {
	GinkgoHelper()
	Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times: %s", o.key, runs, o)
	allNotRun := true
	var whole []byte
	for _, a := range o.answers {
		allNotRun = allNotRun && a.Outcome == harness.OutcomeNotRun
		switch {
		case a.Err != nil:
			continue
		case a.Outcome == harness.OutcomeComplete:
			Expect(runs).To(Equal(1), "%s answered complete: %s", o.key, o)
			o.checkBody(a)
			if whole != nil {
				Expect(a.Body).To(Equal(whole), "%s has two answers", o.key)
			}
			whole = a.Body
		default:
			Expect(a.Outcome).To(BeElementOf(harness.OutcomeNotRun, harness.OutcomeUnknown), "%s: %s", o.key, o)
			Expect(a.Status).To(BeNumerically(">=", 400), "%s: %s", o.key, o)
		}
	}
	if allNotRun {
		Expect(runs).To(BeZero(), "%s was answered not-run only: %s", o.key, o)
	}
}

// checkBody checks that a whole answer is that of this order's only run.
func (o *order) checkBody(a harness.Response) {
	GinkgoHelper()
	Expect(a.Status).To(Equal(http.StatusOK), "%s: %s", o.key, o)
	var got standin.ServiceResponse
	Expect(json.Unmarshal(a.Body, &got)).To(Succeed(), o.key)
	want := standin.ServiceResponse{
		Key: o.key, Run: 1, Method: http.MethodPost, Path: "/orders", BodyDigest: standin.Digest(o.body),
	}
	Expect(got).To(Equal(want))
}

// String tells the answers, for the report of a failed test.
func (o *order) String() string {
	var text string
	for _, a := range o.answers {
		text += fmt.Sprintf("[%d %s %v %.120s] ", a.Status, a.Outcome, a.Err, a.Body)
	}
	return text
}

// complete reports whether an attempt was answered whole.
func (o *order) complete() bool {
	for _, a := range o.answers {
		if a.Err == nil && a.Outcome == harness.OutcomeComplete {
			return true
		}
	}
	return false
}

// batch is a number of orders by several callers through all routers.
type batch struct {
	name    string
	workers int
	// each is the count of orders of each worker.
	each int

	answered atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	orders   []*order
}

// start begins to send the orders. Every caller resends an order through other
// routers while its fate is not known, and every second order that did not run.
func (b *batch) start(ctx context.Context, f *harness.Fleet) {
	for w := range b.workers {
		team := f.Inventory.Teams[w%len(f.Inventory.Teams)].ID
		b.wg.Go(func() {
			clients := clientsOf(f, team)
			defer closeAll(clients)
			for n := range b.each {
				o := newOrder(fmt.Sprintf("%s-%d-%d", b.name, w, n), orderCostMs)
				b.mu.Lock()
				b.orders = append(b.orders, o)
				b.mu.Unlock()
				b.run(ctx, o, clients, w+n)
				b.answered.Add(1)
			}
		})
	}
}

func (b *batch) run(ctx context.Context, o *order, clients []*harness.Client, first int) {
	for n := range maxAttempts {
		a := o.send(ctx, clients[(first+n)%len(clients)])
		if a.Err == nil && a.Outcome == harness.OutcomeComplete {
			return
		}
		if a.Outcome == harness.OutcomeNotRun && first%2 == 0 {
			return
		}
	}
}

// total is the count of orders of the whole batch.
func (b *batch) total() int { return b.workers * b.each }

// awaitAnswered waits until so many orders have been dealt with.
func (b *batch) awaitAnswered(n int) {
	GinkgoHelper()
	Eventually(b.answered.Load, specTimeout).Should(BeNumerically(">=", n))
}

// finish waits for all orders and checks each. It returns how many were
// answered whole.
func (b *batch) finish(ctx context.Context, f *harness.Fleet) int {
	GinkgoHelper()
	b.wg.Wait()
	runs := countRuns(ctx, f)
	whole := 0
	for _, o := range b.orders {
		o.check(runs[o.key])
		if o.complete() {
			whole++
		}
	}
	Expect(b.orders).To(HaveLen(b.total()))
	GinkgoWriter.Printf("%s: %d of %d orders answered whole\n", b.name, whole, b.total())
	return whole
}

// countRuns sums the runs of each order over all services, once nothing runs
// any more.
func countRuns(ctx context.Context, f *harness.Fleet) map[string]int {
	GinkgoHelper()
	total := map[string]int{}
	for _, u := range services(f) {
		Eventually(func(g Gomega) {
			counters, err := u.Control.ServiceCounters(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(counters.Running + counters.Queued).To(BeZero())
		}, specTimeout).Should(Succeed())
		runs, err := u.Control.RunCounts(ctx)
		Expect(err).NotTo(HaveOccurred())
		for key, n := range runs {
			total[key] += n
		}
	}
	return total
}

// services returns the plain services of the fleet.
func services(f *harness.Fleet) []*harness.Upstream {
	var out []*harness.Upstream
	for _, u := range f.Upstreams {
		if u.Service.ID == harness.PlainService {
			out = append(out, u)
		}
	}
	return out
}

func clientsOf(f *harness.Fleet, team fleet.TeamID) []*harness.Client {
	var clients []*harness.Client
	for _, router := range f.Routers {
		clients = append(clients, f.Client(router, team))
	}
	return clients
}

func closeAll(clients []*harness.Client) {
	for _, c := range clients {
		c.Close()
	}
}
