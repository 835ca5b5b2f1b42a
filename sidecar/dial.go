package sidecar

import (
	"context"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// dialCheckInterval is the interval between checks for connected routers.
	dialCheckInterval = time.Second
	// maxDialTargets bounds the number of routers that a sidecar dials at a time.
	maxDialTargets = 3
)

// dialRouters dials routers while none is connected. Normally the routers dial
// the sidecars. Routers that restart without a configuration while the platform
// is unavailable don't know any sidecar; they receive the configuration from the
// first one that connects to them, and then dial the others themselves.
func (s *Sidecar) dialRouters(ctx context.Context) {
	ticker := time.NewTicker(dialCheckInterval)
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sessions := s.sessions.ByRole(peerpb.Role_ROLE_ROUTER)
		if len(sessions) == 0 {
			routers := s.configAdopter.Snapshot().Inventory.Routers
			s.network.SetTargets(ctx, dialTargets(routers, next))
			next += maxDialTargets
			continue
		}
		if slices.ContainsFunc(sessions, func(r *peer.Session) bool { return !r.Dialed() }) {
			s.network.SetTargets(ctx, nil)
		}
	}
}

// dialTargets returns up to maxDialTargets routers, beginning at index start
// modulo their number.
func dialTargets(routers []config.Router, start int) []peer.Target {
	var targets []peer.Target
	for i := range min(len(routers), maxDialTargets) {
		r := routers[(start+i)%len(routers)]
		targets = append(targets, peer.Target{ID: r.ID, Address: r.PeerAddress})
	}
	return targets
}
