package gateway

import (
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// maxCacheLists bounds the engines that are asked at the same time.
	maxCacheLists = 4
	// maxListed bounds the engines that are remembered as asked.
	maxListed = 1 << 16
)

// cacheLists asks the engines that are older than this process what they keep: it
// was not there when they were sent it.
type cacheLists struct {
	gateway *Gateway
	started time.Time
	// asked holds the engines that were asked, under the gateway's mu.
	asked map[poolKey]bool
	slots chan struct{}
}

func newCacheLists(g *Gateway) *cacheLists {
	return &cacheLists{
		gateway: g, started: time.Now(), asked: make(map[poolKey]bool), slots: make(chan struct{}, maxCacheLists),
	}
}

// ask starts the questions to engines of a service that were not asked. The caller
// holds the gateway's mu.
func (c *cacheLists) ask(s *service, engines []registry.Upstream) {
	if c.gateway.options.Engines == nil || !s.keepsPrompts() {
		return
	}
	for _, u := range engines {
		key := keyOf(u)
		older := u.StartedUnixMs < c.started.UnixMilli()
		if !older || c.asked[key] || len(c.asked) >= maxListed {
			continue
		}
		c.asked[key] = true
		go c.list(s, u)
	}
}

func (c *cacheLists) list(s *service, u registry.Upstream) {
	g := c.gateway
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	asked := time.Now()
	parts, err := g.options.Engines.ListCache(g.background, u)
	if err != nil {
		g.log.Warn("cache not listed", zap.String("upstream", string(u.ID)), zap.Error(err))
		return
	}
	s.cacheListed(u.ID, parts)
	g.log.Info("cache listed", zap.String("upstream", string(u.ID)), zap.Int("parts", len(parts)),
		zap.Int("tokens", placement.Prompt(parts).Tokens()), zap.Duration("took", time.Since(asked)))
}

func (s *service) cacheListed(id fleet.UpstreamID, parts []placement.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RestoreCache(id, parts)
}

// keepsPrompts reports whether the upstreams are engines.
func (s *service) keepsPrompts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.CachesPrompts()
}
