package gateway

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
)

// stoppedGateway returns a gateway that was never started and whose context has ended, so that
// it dials nothing.
func stoppedGateway(t *testing.T) *Gateway {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return New(ctx, Options{
		ID: "g1", Location: fleet.Location{Region: "r1", FailureDomain: "d1"}, PeerAddress: "127.0.0.1:9", Log: zap.NewNop(), Registry: registry.Options{},
	})
}

// TestInventedRoutersAndDomainsAreBounded guards against memory and dials without end, caused by
// one router that reports other names in each message.
func TestInventedRoutersAndDomainsAreBounded(t *testing.T) {
	g := NewWithT(t)
	gateway := stoppedGateway(t)
	for batch := range 4 {
		var routers []*peerpb.RouterAddress
		for i := range maxKnownRouters / 2 {
			id := fmt.Sprintf("router-%d-%d", batch, i)
			routers = append(routers, &peerpb.RouterAddress{Id: id, Address: "127.0.0.1:9"})
			gateway.peers.applyDomainSum(&peerpb.DomainLoad{FailureDomain: id})
		}
		gateway.peers.addAddresses(gateway.background, gateway.peers.newAddresses(routers))
	}
	g.Expect(len(gateway.peers.routerAddresses())).To(BeNumerically("<=", maxKnownRouters))
	g.Expect(len(gateway.peers.summedDomains)).To(BeNumerically("<=", maxSummedDomains))
	gateway.peers.addAddresses(gateway.background, map[fleet.NodeID]string{"registered": "127.0.0.2:9"})
	g.Expect(gateway.peers.routerAddresses()).To(HaveKey(fleet.NodeID("registered")), "registered routers are dialed all the same")
}
