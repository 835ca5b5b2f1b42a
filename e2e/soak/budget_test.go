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

// newEnvironment starts an Environment that is closed at the end of the spec.
func newEnvironment(options Options) *Environment {
	GinkgoHelper()
	env, err := NewEnvironment(context.Background(), GinkgoT().TempDir(), options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(env.Close)
	return env
}

// awaitPeers waits until every gateway is connected to all others.
func (env *Environment) awaitPeers() {
	GinkgoHelper()
	for _, g := range env.Gateways {
		Eventually(func() int { return len(env.gatewayState(g).Routers) }, specTimeout).Should(Equal(len(env.Gateways)-1), g.Name)
	}
}

// budget has a short window, so that a spec spans several windows.
var budget = RetryBudget{Ratio: 0.2, Slack: 30, Window: 3 * time.Second}

// budgetSettings sets budget in the settings of the gateways.
const budgetSettings = `
retry: {ratio: 0.2, slack: 30, window: 3s}
`

// lookupWorkload sends safe requests to all gateways. If all of them fail, their
// retries would exceed the budget.
func lookupWorkload(env *Environment) *Workload {
	return &Workload{
		Service: deskService, Team: "team-1", Path: lookupPath + "1", Rate: 100, Gateways: env.CallerAddresses(0, 1, 2),
		Objective: 200 * time.Millisecond, Deadline: 2 * time.Second, FirstByteTimeout: time.Second,
	}
}

// awaitRequests waits until n requests of callers have ended.
func (env *Environment) awaitRequests(n int) {
	GinkgoHelper()
	Eventually(func() int {
		requests, _ := env.Recorder.Snapshot()
		return len(requests)
	}, specTimeout).Should(BeNumerically(">=", n))
}

func (env *Environment) killAndRestartAll() {
	GinkgoHelper()
	for _, g := range env.Gateways {
		g.Kill()
	}
	for _, g := range env.Gateways {
		Eventually(g.Done(), specTimeout).Should(BeClosed())
		Expect(env.Start(g)).To(Succeed())
	}
}

func (env *Environment) stopLoadAndExpectBudget() {
	GinkgoHelper()
	env.StopLoad()
	requests, arrivals := env.Recorder.Snapshot()
	Expect(budget.Violation(deskService, requests, arrivals)).To(BeEmpty())
}

var _ = Describe("retries while all upstreams fail", func() {
	var env *Environment

	BeforeEach(func() {
		env = newEnvironment(Options{Gateways: 3, PlainServers: 4, Teams: []string{"team-1"}, Settings: budgetSettings})
		env.awaitPeers()
		for _, g := range env.Gateways {
			Eventually(func() float64 { return env.gatewayState(g).Retries[deskService].Allowed }, specTimeout).Should(BeNumerically(">", 0), "slack")
		}
		for _, p := range env.PlainServers {
			p.failurePermille.Store(1000)
		}
	})

	It("stay within the budget", func() {
		env.StartLoad(1, lookupWorkload(env))
		env.awaitRequests(700)
		env.stopLoadAndExpectBudget()
	})

	// Guards against gateways that lose the record of their spent budget at a restart.
	It("stay within the budget when gateways are killed and start again", func() {
		env.StartLoad(2, lookupWorkload(env))
		for restarts := range 2 {
			env.awaitRequests(100 * (restarts + 1))
			env.killAndRestartAll()
		}
		env.awaitRequests(700)
		env.stopLoadAndExpectBudget()
	})

	// Guards against gateways that take over the budget shares of unreachable peers.
	It("stay within the budget when gateways are cut off from each other", func() {
		for _, g := range env.Gateways {
			env.Isolate(g)
		}
		for _, g := range env.Gateways {
			Eventually(func() int { return len(env.gatewayState(g).Routers) }, specTimeout).Should(BeZero())
		}
		env.StartLoad(3, lookupWorkload(env))
		env.awaitRequests(500)
		env.stopLoadAndExpectBudget()
	})
})
