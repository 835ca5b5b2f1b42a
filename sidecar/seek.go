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
	// seekInterval is the time between two checks for connected routers.
	seekInterval = time.Second
	// maxSought bounds the routers that a sidecar dials at once.
	maxSought = 3
)

// seekRouters dials routers while none is connected. Routers that restart
// empty while the platform is down know no sidecars; they learn the
// configuration from the first one that reaches them, and then dial on their
// own.
func (s *Sidecar) seekRouters(ctx context.Context) {
	ticker := time.NewTicker(seekInterval)
	defer ticker.Stop()
	next := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		sessions := s.sessions.All(peerpb.Role_ROLE_ROUTER)
		if len(sessions) == 0 {
			routers := s.adoption.Snapshot().Inventory.Routers
			s.network.SetTargets(ctx, soughtRouters(routers, next))
			next += maxSought
			continue
		}
		if slices.ContainsFunc(sessions, func(r *peer.Session) bool { return !r.Dialed() }) {
			s.network.SetTargets(ctx, nil)
		}
	}
}

// soughtRouters returns up to maxSought routers from position start on.
func soughtRouters(routers []config.Router, start int) []peer.Target {
	var targets []peer.Target
	for i := range min(len(routers), maxSought) {
		r := routers[(start+i)%len(routers)]
		targets = append(targets, peer.Target{ID: r.ID, Address: r.PeerAddress})
	}
	return targets
}
