package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/follower"
)

const (
	// watchCheckInterval is how often a router that does not watch the store checks
	// whether it has to.
	watchCheckInterval = 200 * time.Millisecond
	// minAggregatorWatchDomains is the number of failure domains from which on only
	// their aggregators watch the store, on behalf of all routers.
	minAggregatorWatchDomains = 3
)

// storeContact tracks when the store last responded to this router or to one that it
// receives changes from.
type storeContact struct {
	// watching is set while this router watches the store itself.
	watching atomic.Bool

	mu sync.Mutex
	// routing and upstreams are when the store last responded to the respective watch
	// of this router; zero if it was unavailable to the last call.
	routing, upstreams time.Time
	// evacuations is the same for the watch of evacuations. It counts only if
	// followsEvacuations is set.
	evacuations        time.Time
	followsEvacuations bool
	// peers is when the store last responded to another router.
	peers time.Time
}

// recordWatch records the result of a store call of one watch. A lost connection and a lost
// history do not show that the store is unavailable, but changes may be missing: the last
// contact stays what it was.
func (c *storeContact) recordWatch(watch *time.Time, result follower.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch result {
	case follower.Answered:
		*watch = time.Now()
	case follower.Unavailable:
		*watch = time.Time{}
	case follower.ConnectionLost, follower.HistoryGone, follower.RateLimited:
	}
}

// recordPeerAge records another router's contact with the store: the milliseconds since
// the store responded, zero without contact. If the aggregator of this failure domain
// has lost contact, it is no longer relied on.
func (c *storeContact) recordPeerAge(now time.Time, ageMs uint32, aggregator bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ageMs == 0 {
		if aggregator {
			c.peers = time.Time{}
		}
		return
	}
	if at := now.Add(-time.Duration(ageMs) * time.Millisecond); at.After(c.peers) {
		c.peers = at
	}
}

// last returns when the store last responded; zero if unknown.
func (c *storeContact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.routing
	if c.upstreams.Before(own) {
		own = c.upstreams
	}
	if c.followsEvacuations && c.evacuations.Before(own) {
		own = c.evacuations
	}
	if c.peers.After(own) {
		return c.peers
	}
	return own
}

// age returns the milliseconds since the store responded, at least one; zero without
// contact.
func (c *storeContact) age(now time.Time) uint32 {
	last := c.last()
	if last.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(last).Milliseconds(), 1), math.MaxUint32))
}

// shouldWatchStore reports whether this router watches the store itself: in small
// fleets, as the aggregator of its failure domain, and when it has heard of no router
// in contact with the store for too long.
func (g *Gateway) shouldWatchStore() bool {
	domains, summed := g.peers.domains()
	maxAge := g.options.MaxPeerStoreAge
	watches := !summed || maxAge == 0 || domains < minAggregatorWatchDomains || g.peers.aggregating.Load() || time.Since(g.storeContact.last()) > maxAge
	if g.storeContact.watching.Swap(watches) != watches {
		g.log.Info("watch of the store", zap.Bool("watches", watches), zap.Int("domains", domains), zap.Uint32("store_age_ms", g.storeContact.age(time.Now())))
	}
	return watches
}
