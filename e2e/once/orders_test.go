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
	// attemptTimeout is the timeout of one attempt.
	attemptTimeout = 8 * time.Second
	// maxAttempts bounds the attempts of a caller at one order.
	maxAttempts = 3
	// orderCostMs is the time in milliseconds that a service takes for an order.
	orderCostMs = 10
)

// order is a non-idempotent request and the responses to all attempts at it.
type order struct {
	key       string
	body      []byte
	responses []harness.Response
}

func newOrder(key string, costMs int) *order {
	return &order{key: key, body: fmt.Appendf(nil, `{"cost_ms":%d,"key":%q}`, costMs, key)}
}

// send sends the order once through a router.
func (o *order) send(ctx context.Context, client *harness.Client) harness.Response {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := client.CallService(ctx, http.MethodPost, string(harness.PlainService), "/orders", o.key, o.body)
	o.responses = append(o.responses, answer)
	return answer
}

// check checks the responses to the order against the number of its runs.
func (o *order) check(runs int) {
	GinkgoHelper()
	Expect(runs).To(BeNumerically("<=", 1), "%s ran %d times: %s", o.key, runs, o)
	allNotRun := true
	var complete []byte
	for _, a := range o.responses {
		allNotRun = allNotRun && a.Outcome == harness.OutcomeNotRun
		switch {
		case a.Err != nil:
			continue
		case a.Outcome == harness.OutcomeComplete:
			Expect(runs).To(Equal(1), "%s has a complete response: %s", o.key, o)
			o.checkBody(a)
			if complete != nil {
				Expect(a.Body).To(Equal(complete), "%s has two different responses", o.key)
			}
			complete = a.Body
		default:
			Expect(a.Outcome).To(BeElementOf(harness.OutcomeNotRun, harness.OutcomeUnknown), "%s: %s", o.key, o)
			Expect(a.Status).To(BeNumerically(">=", 400), "%s: %s", o.key, o)
		}
	}
	if allNotRun {
		Expect(runs).To(BeZero(), "%s has only responses with the outcome not-run: %s", o.key, o)
	}
}

// checkBody checks that a complete response is that of the only run of this order.
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

// String lists the responses for failure messages.
func (o *order) String() string {
	var text string
	for _, a := range o.responses {
		text += fmt.Sprintf("[%d %s %v %.120s] ", a.Status, a.Outcome, a.Err, a.Body)
	}
	return text
}

// complete reports whether any attempt has a complete response.
func (o *order) complete() bool {
	for _, a := range o.responses {
		if a.Err == nil && a.Outcome == harness.OutcomeComplete {
			return true
		}
	}
	return false
}

// batch is a set of orders that concurrent workers send through all routers.
type batch struct {
	name    string
	workers int
	// ordersPerWorker is the number of orders that each worker sends.
	ordersPerWorker int

	finished atomic.Int64
	wg       sync.WaitGroup
	mu       sync.Mutex
	orders   []*order
}

// start starts sending the orders. A worker retries an order through other routers
// while its outcome is unknown, and retries every second order that did not run.
func (b *batch) start(ctx context.Context, f *harness.Fleet) {
	for w := range b.workers {
		team := f.Inventory.Teams[w%len(f.Inventory.Teams)].ID
		b.wg.Go(func() {
			clients := newClients(f, team)
			defer closeAll(clients)
			for n := range b.ordersPerWorker {
				o := newOrder(fmt.Sprintf("%s-%d-%d", b.name, w, n), orderCostMs)
				b.mu.Lock()
				b.orders = append(b.orders, o)
				b.mu.Unlock()
				b.run(ctx, o, clients, w+n)
				b.finished.Add(1)
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

// total returns the number of orders of the batch.
func (b *batch) total() int { return b.workers * b.ordersPerWorker }

// awaitFinished waits until the workers have finished at least n orders, with any
// outcome.
func (b *batch) awaitFinished(n int) {
	GinkgoHelper()
	Eventually(b.finished.Load, specTimeout).Should(BeNumerically(">=", n))
}

// finish waits for all orders and checks each. It returns the number of orders
// with a complete response.
func (b *batch) finish(ctx context.Context, f *harness.Fleet) int {
	GinkgoHelper()
	b.wg.Wait()
	runs := countRuns(ctx, f)
	complete := 0
	for _, o := range b.orders {
		o.check(runs[o.key])
		if o.complete() {
			complete++
		}
	}
	Expect(b.orders).To(HaveLen(b.total()))
	GinkgoWriter.Printf("%s: %d of %d orders have a complete response\n", b.name, complete, b.total())
	return complete
}

// countRuns waits until the services are idle and returns the total number of runs
// of each order, by key.
func countRuns(ctx context.Context, f *harness.Fleet) map[string]int {
	GinkgoHelper()
	total := map[string]int{}
	for _, u := range plainUpstreams(f) {
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

// plainUpstreams returns the upstreams of the plain service.
func plainUpstreams(f *harness.Fleet) []*harness.Upstream {
	var out []*harness.Upstream
	for _, u := range f.Upstreams {
		if u.Service.ID == harness.PlainService {
			out = append(out, u)
		}
	}
	return out
}

// newClients returns a client of the team for each router.
func newClients(f *harness.Fleet, team fleet.TeamID) []*harness.Client {
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
