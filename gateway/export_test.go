package gateway

import "fulmarspindle.example/fulmarspindle/fleet"

// RouterAddresses returns the addresses of other routers that a gateway dials.
func RouterAddresses(g *Gateway) map[fleet.NodeID]string { return g.peers.routerAddresses() }
