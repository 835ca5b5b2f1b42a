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
	// collectInterval is the interval between collections of superseded
	// configurations.
	collectInterval = time.Hour
	// collectTimeout limits the duration of one collection.
	collectTimeout = 30 * time.Minute
)

// runConfigCollector periodically deletes superseded configurations until ctx
// ends. It skips the intervals at which another router is the collector.
func (r *Router) runConfigCollector(ctx context.Context) {
	publisher := config.NewPublisher(r.store, time.Now)
	runPeriodically(ctx, collectInterval, func(time.Time) {
		if !isCollector(r.settings.ID, r.connectedRouters()) {
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
	for _, s := range r.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		ids = append(ids, s.ID())
	}
	return ids
}

// isCollector reports whether a router deletes superseded configurations: no
// connected router has a lower identifier. Two routers that are disconnected from
// each other may both collect, which is safe.
func isCollector(self fleet.NodeID, connected []fleet.NodeID) bool {
	for _, id := range connected {
		if id < self {
			return false
		}
	}
	return true
}
