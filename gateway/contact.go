package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// watchCheckInterval is the time between two looks whether this router has to watch
	// the store itself.
	watchCheckInterval = 200 * time.Millisecond
	// minAggregatorWatchDomains is the number of failure domains from which their
	// aggregators watch the store for all.
	minAggregatorWatchDomains = 3
)

// storeContact is when the store last answered this router, or one that it hears of
// changes from.
type storeContact struct {
	// watching is set while this router watches the store itself.
	watching atomic.Bool

	mu sync.Mutex
	// routing and upstreams are when the store last answered either watch of this
	// router; zero if it did not at the last try.
	routing, upstreams time.Time
	// peers is when it answered another router.
	peers time.Time
}

// recordWatch takes the end of a call of one watch.
func (c *storeContact) recordWatch(watch *time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*watch = time.Time{}
	if err == nil {
		*watch = time.Now()
	}
}

// recordPeerAge takes what another router says of its contact: the milliseconds since the
// store answered, zero without contact. An aggregator of the own failure domain that
// lost it can't be relied on any more.
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

// last returns when the store last answered; zero if that is not known.
func (c *storeContact) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.routing
	if c.upstreams.Before(own) {
		own = c.upstreams
	}
	if c.peers.After(own) {
		return c.peers
	}
	return own
}

// age returns the milliseconds since the store answered, at least one; zero if it is
// not in contact.
func (c *storeContact) age(now time.Time) uint32 {
	last := c.last()
	if last.IsZero() {
		return 0
	}
	return uint32(min(max(now.Sub(last).Milliseconds(), 1), math.MaxUint32))
}

// shouldWatchStore decides whether this router shouldWatchStore the store itself: in small fleets, for
// its failure domain, and when it hears of no router that is in contact.
func (g *Gateway) shouldWatchStore() bool {
	domains, summed := g.peers.domains()
	rely := g.options.MaxPeerStoreAge
	watches := !summed || rely == 0 || domains < minAggregatorWatchDomains || g.peers.aggregating.Load() || time.Since(g.storeContact.last()) > rely
	if g.storeContact.watching.Swap(watches) != watches {
		g.log.Info("watch of the store", zap.Bool("watches", watches), zap.Int("domains", domains), zap.Uint32("store_age_ms", g.storeContact.age(time.Now())))
	}
	return watches
}
