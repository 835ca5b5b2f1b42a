package overload_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/overload"
)

var options = overload.Options{Standing: time.Second, Hold: 5 * time.Second, MaxHold: time.Minute, MaxUnready: 0.4}

// alone is a gateway among five of which the others are ready.
var alone = overload.Domain{Others: 4}

// queue is a gateway that takes rate connections a second off a queue; more come.
type queue struct {
	r       *overload.Readiness
	now     time.Time
	waiting float64
}

const step = 20 * time.Millisecond

// run plays some time with so many new connections a second and returns the parts of
// it in which the gateway was unready. An unready one gets none.
func (q *queue) run(d time.Duration, arrivals, rate float64, domain overload.Domain) float64 {
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

// Pattern: a burst of ten times the usual for part of a second.
func TestBurstIsTaken(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	g.Expect(q.run(2*time.Second, 50, 100, alone)).To(BeZero())
	g.Expect(q.run(100*time.Millisecond, 500, 100, alone)).To(BeZero())
	g.Expect(q.run(5*time.Second, 50, 100, alone)).To(BeZero())
}

// Pattern: three times what the processor takes, for long. It turns unready soon,
// and each spell that follows another is longer.
func TestSteadyOverloadTurnsUnready(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	g.Expect(q.run(2*time.Second, 300, 100, alone)).To(BeNumerically(">", 0.4))
	first := q.run(20*time.Second, 300, 100, alone)
	later := q.run(60*time.Second, 300, 100, alone)
	g.Expect(first).To(BeNumerically(">", 0.5))
	g.Expect(later).To(BeNumerically(">", first))
}

// Pattern: the load drops. It is ready again within the hold of one spell.
func TestReadyAgainAfterTheOverload(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	q.run(2*time.Second, 300, 100, alone)
	q.run(options.Hold, 50, 100, alone)
	g.Expect(q.run(30*time.Second, 50, 100, alone)).To(BeZero())
}

// Pattern: all gateways of a failure domain are overloaded at once. Only so many turn
// unready that the others get less than twice theirs.
func TestOverloadOfAllKeepsMostReady(t *testing.T) {
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
			q.run(step, 300, 100, overload.Domain{Others: gateways - 1, Unready: others})
		}
		g.Expect(unready()).To(BeNumerically("<=", 4))
	}
	g.Expect(unready()).To(BeNumerically(">", 0))
}

// Pattern: a gateway that is alone, or one of two, has nobody to leave callers to.
func TestFewGatewaysStayReady(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.Domain{})).To(BeZero())
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.Domain{Others: 1})).To(BeZero())
	g.Expect(newQueue().run(10*time.Second, 300, 100, overload.Domain{Others: 2, Unready: 1})).To(BeZero())
}
