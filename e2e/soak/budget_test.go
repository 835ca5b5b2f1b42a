package soak

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const specTimeout = 60 * time.Second

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// newWorld starts a World for a spec.
func newWorld(shape Shape) *World {
	GinkgoHelper()
	w, err := NewWorld(context.Background(), GinkgoT().TempDir(), shape)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(w.Close)
	return w
}

// settled waits until all gateways know each other.
func (w *World) settled() {
	GinkgoHelper()
	for _, g := range w.Gateways {
		Eventually(func() int { return len(w.state(g).Routers) }, specTimeout).Should(Equal(len(w.Gateways)-1), g.Name)
	}
}

// budget is short, so that a window passes soon.
var budget = Budget{Ratio: 0.2, Slack: 30, Window: 3 * time.Second}

const budgetSettings = `
retry: {ratio: 0.2, slack: 30, window: 3s}
`

// lookups are safe requests at all gateways, more than the budget may repeat.
func lookups(w *World) *Source {
	return &Source{
		Service: deskService, Team: "team-1", Path: "/lookup/1", Rate: 100, Gateways: w.Callers(0, 1, 2),
		Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, Patience: time.Second,
	}
}

// asked waits until callers have sent so many requests.
func (w *World) asked(n int) {
	GinkgoHelper()
	Eventually(func() int {
		asks, _ := w.Record.Seen()
		return len(asks)
	}, specTimeout).Should(BeNumerically(">=", n))
}

// killAll kills all gateways and starts them again.
func (w *World) killAll() {
	GinkgoHelper()
	for _, g := range w.Gateways {
		g.Kill()
	}
	for _, g := range w.Gateways {
		Eventually(g.Done(), specTimeout).Should(BeClosed())
		Expect(w.Start(g)).To(Succeed())
	}
}

// expectBudget ends the load and checks the retries of all gateways.
func (w *World) expectBudget() {
	GinkgoHelper()
	w.StopLoad()
	asks, arrivals := w.Record.Seen()
	Expect(budget.Overspent(deskService, asks, arrivals)).To(BeEmpty())
}

var _ = Describe("retries while all upstreams fail", func() {
	var w *World

	BeforeEach(func() {
		w = newWorld(Shape{Gateways: 3, Plain: 4, Teams: []string{"team-1"}, Settings: budgetSettings})
		w.settled()
		for _, g := range w.Gateways {
			Eventually(func() float64 { return w.state(g).Retries[deskService].Allowed }, specTimeout).Should(BeNumerically(">", 0), "slack")
		}
		for _, p := range w.Plain {
			p.failing.Store(1000)
		}
	})

	It("stay within the budget", func() {
		w.Load(1, lookups(w))
		w.asked(700)
		w.expectBudget()
	})

	// Guards against gateways that forget at a restart what they spent.
	It("stay within the budget when gateways are killed and start again", func() {
		w.Load(2, lookups(w))
		for kills := range 2 {
			w.asked(100 * (kills + 1))
			w.killAll()
		}
		w.asked(700)
		w.expectBudget()
	})

	// Guards against gateways that take the part of those they lose sight of.
	It("stay within the budget when gateways are cut off from each other", func() {
		for _, g := range w.Gateways {
			w.Isolate(g)
		}
		for _, g := range w.Gateways {
			Eventually(func() int { return len(w.state(g).Routers) }, specTimeout).Should(BeZero())
		}
		w.Load(3, lookups(w))
		w.asked(500)
		w.expectBudget()
	})
})
