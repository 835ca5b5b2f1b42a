package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
)

// startFleet starts count gateways in three failure domains of two regions. store
// returns the store of each.
func startFleet(t *testing.T, count int, store func(i int) gateway.Store, change func(*gateway.Options)) []*node {
	t.Helper()
	var seeds []string
	nodes := make([]*node, 0, count)
	for i := range count {
		location := fleet.Location{Region: "r1", FailureDomain: fleet.FailureDomainID(fmt.Sprint("d", i%3+1))}
		if i%3 == 2 {
			location.Region = "r2"
		}
		n := startGateway(t, fmt.Sprintf("g%02d", i), store(i), func(o *gateway.Options) {
			o.Location, o.Processors = location, float64(1+i%5)
			o.Policy.Seeds = seeds
			change(o)
		})
		seeds = append(seeds, n.peer)
		nodes = append(nodes, n)
	}
	awaitReady(t, nodes...)
	return nodes
}

// running returns the number of requests that a gateway counts as running at an
// upstream of the plain service.
func running(n *node, id fleet.UpstreamID) int {
	return n.State().Services["plain"].Upstreams[id].Running
}

// In a large fleet loads are exchanged as sums by failure domain. Every other gateway
// has to count each load exactly once, before and after an aggregator shuts down.
func TestLoadCountsOnceInEveryFailureDomain(t *testing.T) {
	g := NewWithT(t)
	const count, requests = 15, 4
	release := make(chan struct{})
	s := startServer(t, "i-1", "plain", func(_ *server, c net.Conn, r *http.Request) {
		<-release
		respond(c, r, http.StatusOK, "done")
	})
	s.Slots = 2 * requests
	configuration := definition(1)
	configuration.Routes[0].Timeout = time.Minute // Longer than the test takes on slow machines.
	store := storeOf(configuration, s)
	nodes := startFleet(t, count, func(int) gateway.Store { return store }, func(*gateway.Options) {})
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.State().Routers) }, eventuallyTimeout).Should(Equal(count - 1))
	}
	from := nodes[6] // In the first failure domain, but not its aggregator.
	errs := make(chan error, requests)
	for i := range requests {
		go func() {
			_, _, err := send(from, http.MethodGet, fmt.Sprint("/safe/", i), "")
			errs <- err
		}()
	}
	counted := func() []int {
		var out []int
		for _, n := range nodes {
			out = append(out, running(n, s.ID))
		}
		return out
	}
	g.Eventually(counted, eventuallyTimeout).Should(HaveEach(requests))
	g.Consistently(counted, 300*time.Millisecond).Should(HaveEach(requests))

	// The aggregator of the first failure domain: it has the most processors there.
	nodes[9].stop()
	g.Eventually(nodes[9].done, eventuallyTimeout).Should(BeClosed())
	nodes = append(nodes[:9], nodes[10:]...)
	g.Eventually(counted, eventuallyTimeout).Should(HaveEach(requests))
	g.Consistently(counted, 300*time.Millisecond).Should(HaveEach(requests))
	close(release)
	for range requests {
		g.Expect(<-errs).NotTo(HaveOccurred())
	}
	g.Eventually(counted, eventuallyTimeout).Should(HaveEach(0))
}
