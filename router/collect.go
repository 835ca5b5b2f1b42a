package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

const (
	// collectInterval is the time between two collections of superseded
	// configurations.
	collectInterval = time.Hour
	// collectTimeout bounds one collection.
	collectTimeout = 30 * time.Minute
)

// collectConfigurations deletes superseded configurations until ctx ends, while
// this router is the one to do it.
func (r *Router) collectConfigurations(ctx context.Context) {
	publisher := config.NewPublisher(r.store, time.Now)
	every(ctx, collectInterval, func(time.Time) {
		if !collects(r.settings.ID, r.connectedRouters()) {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, collectTimeout)
		defer cancel()
		if err := publisher.Collect(bounded); err != nil {
			r.log.Warn("configurations not collected", zap.Error(err))
		}
	})
}

func (r *Router) connectedRouters() []fleet.NodeID {
	var ids []fleet.NodeID
	for _, s := range r.sessions.All(peerpb.Role_ROLE_ROUTER) {
		ids = append(ids, s.ID())
	}
	return ids
}

// collects reports whether a router is the one that collects: that of the least
// identifier among those that it is connected to. Routers that lost each other
// may both collect, which does no harm.
func collects(self fleet.NodeID, connected []fleet.NodeID) bool {
	for _, id := range connected {
		if id < self {
			return false
		}
	}
	return true
}
