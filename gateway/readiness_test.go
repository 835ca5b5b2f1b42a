package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/overload"
)

// All callers connect to one gateway, faster than it accepts them. It has to report
// unready while the others stay ready, and report ready again once no connections are
// waiting.
func TestOverloadedGatewayTurnsUnready(t *testing.T) {
	g := NewWithT(t)
	store := storeOf(definition(1), startServer(t, "i-1", "plain", respondDone))
	var nodes []*node
	var seeds []string
	for i := range 3 {
		n := startGateway(t, fmt.Sprint("g", i), store, func(o *gateway.Options) {
			o.Policy.Seeds = seeds
			o.MaxConnections = 4
			o.Overload = overload.Options{MaxBacklogTime: 100 * time.Millisecond, HoldDown: 4 * time.Second, MaxHoldDown: time.Minute, MaxUnreadyFraction: 0.4}
		})
		seeds = append(seeds, n.peer)
		nodes = append(nodes, n)
	}
	awaitReady(t, nodes...)
	for _, n := range nodes {
		g.Eventually(func() int { return len(n.State().Routers) }, eventuallyTimeout).Should(Equal(2))
	}
	connectMany := func(n *node) (disconnect func()) {
		var conns []net.Conn
		for range 8 {
			c, err := net.Dial("tcp", strings.TrimPrefix(n.url, "http://"))
			g.Expect(err).NotTo(HaveOccurred())
			conns = append(conns, c)
		}
		return func() {
			for _, c := range conns {
				c.Close()
			}
		}
	}
	disconnect := connectMany(nodes[0])
	g.Eventually(nodes[0].Ready, eventuallyTimeout).Should(BeFalse())
	// MaxUnreadyFraction allows only one of three gateways to be unready.
	disconnectSecond := connectMany(nodes[1])
	g.Consistently(nodes[1].Ready, "500ms").Should(BeTrue())
	g.Expect(nodes[2].Ready()).To(BeTrue())
	disconnect()
	g.Eventually(nodes[0].Ready, eventuallyTimeout).Should(BeTrue())
	disconnectSecond()
}
