package gateway

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// dutyInterval is the time between two looks whether this router has to watch
	// the store itself.
	dutyInterval = 200 * time.Millisecond
	// minWatchedDomains is the number of failure domains from which their
	// aggregators watch the store for all.
	minWatchedDomains = 3
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
	// others is when it answered another router.
	others time.Time
}

// answered takes the end of a call of one watch.
func (c *storeContact) answered(watch *time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*watch = time.Time{}
	if err == nil {
		*watch = time.Now()
	}
}

// heard takes what another router says of its contact: the milliseconds since the
// store answered, zero without contact. An aggregator of the own failure domain that
// lost it can't be relied on any more.
func (c *storeContact) heard(now time.Time, ageMs uint32, aggregator bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ageMs == 0 {
		if aggregator {
			c.others = time.Time{}
		}
		return
	}
	if at := now.Add(-time.Duration(ageMs) * time.Millisecond); at.After(c.others) {
		c.others = at
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
	if c.others.After(own) {
		return c.others
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

// watches decides whether this router watches the store itself: in small fleets, for
// its failure domain, and when it hears of no router that is in contact.
func (g *Gateway) watches() bool {
	domains, summed := g.peers.domains()
	rely := g.options.RelyOnPeers
	watches := !summed || rely == 0 || domains < minWatchedDomains || g.peers.aggregating.Load() || time.Since(g.contact.last()) > rely
	if g.contact.watching.Swap(watches) != watches {
		g.log.Info("watch of the store", zap.Bool("watches", watches), zap.Int("domains", domains), zap.Uint32("store_age_ms", g.contact.age(time.Now())))
	}
	return watches
}
