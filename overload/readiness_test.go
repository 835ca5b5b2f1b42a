package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/overload"
)

var options = overload.Options{MaxBacklogTime: time.Second, HoldDown: 5 * time.Second, MaxHoldDown: time.Minute, MaxUnreadyFraction: 0.4}

// othersReady is the view of one of five gateways while the other four are ready.
var othersReady = overload.DomainStatus{Others: 4}

// queue simulates the queue of connections that wait to be accepted by a gateway.
type queue struct {
	r       *overload.Readiness
	now     time.Time
	waiting float64
}

const step = 20 * time.Millisecond

// run simulates a duration in which connections arrive at arrivals per second and are
// accepted at rate per second. It returns the fraction of the duration in which the
// gateway was unready. An unready gateway gets no new connections.
func (q *queue) run(d time.Duration, arrivals, rate float64, domain overload.DomainStatus) float64 {
	steps, unready := int(d/step), 0
	ready := q.r.Ready(q.now, domain)
	for range steps {
		q.now = q.now.Add(step)
		if ready {
			q.waiting += arrivals * step.Seconds()
		}
		q.waiting = max(q.waiting-rate*step.Seconds(), 0)
		q.r.Observe(q.now, q.waiting >= 1)
		if ready = q.r.Ready(q.now, domain); !ready {
			unready++
		}
	}
	return float64(unready) / float64(steps)
}

func newQueue() *queue { return &queue{r: overload.New(options), now: time.Unix(1000, 0)} }

// A burst of ten times the usual load for a tenth of a second must not turn the
// gateway unready.
func TestBurstDoesNotTurnUnready(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	g.Expect(q.run(2*time.Second, 50, 100, othersReady)).To(BeZero())
	g.Expect(q.run(100*time.Millisecond, 500, 100, othersReady)).To(BeZero())
	g.Expect(q.run(5*time.Second, 50, 100, othersReady)).To(BeZero())
}

// Under a sustained load of three times its capacity, the gateway turns unready within
// two seconds, and each successive hold-down is longer.
func TestSteadyOverloadTurnsUnready(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	g.Expect(q.run(2*time.Second, 300, 100, othersReady)).To(BeNumerically(">", 0.4))
	first := q.run(20*time.Second, 300, 100, othersReady)
	later := q.run(60*time.Second, 300, 100, othersReady)
	g.Expect(first).To(BeNumerically(">", 0.5))
	g.Expect(later).To(BeNumerically(">", first))
}

// After the load drops, the gateway is ready again within one hold-down.
func TestReadyAgainAfterTheOverload(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.run(2*time.Second, 300, 100, othersReady)
	q.run(options.HoldDown, 50, 100, othersReady)
	g.Expect(q.run(30*time.Second, 50, 100, othersReady)).To(BeZero())
}

// When all gateways of a failure domain are overloaded at once, only so many turn
// unready that the load of the others less than doubles.
func TestOverloadOfAllGatewaysKeepsMostReady(t *testing.T) {
	g := NewWithT(t)
	const gateways = 10
	all := make([]*queue, gateways)
	for i := range all {
		all[i] = newQueue()
	}
	unready := func() int {
		count := 0
		for _, q := range all {
			if q.r.Unready() {
				count++
			}
		}
		return count
	}
	for range 500 {
		for _, q := range all {
			others := unready()
			if q.r.Unready() {
				others--
			}
			q.run(step, 300, 100, overload.DomainStatus{Others: gateways - 1, Unready: others})
		}
		g.Expect(unready()).To(BeNumerically("<=", 4))
	}
	g.Expect(unready()).To(BeNumerically(">", 0))
}

// A single gateway and one of two stay ready: there are too few others to take over
// their callers.
func TestFewGatewaysStayReady(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.DomainStatus{})).To(BeZero())
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.DomainStatus{Others: 1})).To(BeZero())
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.DomainStatus{Others: 2, Unready: 1})).To(BeZero())
}

// A large gateway whose failure domain has mostly small ones stays ready: the balancer
// spreads its callers over the ready gateways whatever their size, and a small one that
// gets the callers of one team answers none of them.
func TestLargeGatewayAmongSmallOnesStaysReady(t *testing.T) {
	g := NewWithT(t)
	domain := overload.DomainStatus{Others: 3, Processors: 0.8, ReadyProcessors: 0.8 + 0.144 + 0.144}
	g.Expect(newQueue().run(10*time.Second, 300, 100, domain)).To(BeZero())
	domain.Processors = 0.144
	domain.ReadyProcessors = 0.8 + 0.8 + 0.144
	g.Expect(newQueue().run(10*time.Second, 300, 100, domain)).To(BeNumerically(">", 0.5))
}

// Gateways of equal size, and those whose size is unknown, may turn unready.
func TestGatewaysOfEqualOrUnknownSizeTurnUnready(t *testing.T) {
	g := NewWithT(t)
	for _, processors := range []float64{float64(float32(0.304)), 0} {
		domain := overload.DomainStatus{Others: 3, Processors: processors, ReadyProcessors: 3 * processors}
		g.Expect(newQueue().run(10*time.Second, 300, 100, domain)).To(BeNumerically(">", 0.5))
	}
}

// Guards against gateways of unknown size counting as small: a domain in which only some
// gateways have limits.processors would keep every gateway that has it ready.
func TestGatewaysOfUnknownSizeDoNotCountAsSmall(t *testing.T) {
	g := NewWithT(t)
	domain := overload.DomainStatus{Others: 3, Processors: 0.8, ReadyProcessors: 2 * 0.8, ReadyUnknown: 1}
	g.Expect(newQueue().run(10*time.Second, 300, 100, domain)).To(BeNumerically(">", 0.5))
	domain.ReadyProcessors = 2 * 0.144
	g.Expect(newQueue().run(10*time.Second, 300, 100, domain)).To(BeZero())
}
