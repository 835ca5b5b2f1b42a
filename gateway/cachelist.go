package gateway

import (
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

const (
	// maxConcurrentCacheLists limits the number of concurrent ListCache calls.
	maxConcurrentCacheLists = 4
	// maxRequestedCacheLists limits the number of engines in cacheLists.requested.
	maxRequestedCacheLists = 1 << 16
)

// cacheLists requests the cache contents of engines that started before this process,
// since the prompts that they were sent until then are unknown here.
type cacheLists struct {
	gateway *Gateway
	started time.Time
	// requested holds the engines whose cache was requested. It is guarded by
	// Gateway.mu.
	requested map[poolKey]bool
	// slots limits the concurrent ListCache calls.
	slots chan struct{}
}

func newCacheLists(g *Gateway) *cacheLists {
	return &cacheLists{
		gateway: g, started: time.Now(), requested: make(map[poolKey]bool), slots: make(chan struct{}, maxConcurrentCacheLists),
	}
}

// requestOnce requests the cache contents of those engines of a service that have not
// been asked before and are not cold: a cold engine has cached nothing and tolerates few
// requests. The caller holds Gateway.mu.
func (c *cacheLists) requestOnce(s *service, engines []registry.Upstream) {
	if c.gateway.options.Engines == nil || !s.cachesPrompts() {
		return
	}
	now := time.Now()
	for _, u := range engines {
		key := keyOf(u)
		older := u.StartedUnixMs < c.started.UnixMilli()
		unavailable := u.ColdLeft(now) > 0 || c.gateway.evacuations.set.Evacuated(u.Domain)
		if !older || unavailable || c.requested[key] || len(c.requested) >= maxRequestedCacheLists {
			continue
		}
		c.requested[key] = true
		go c.list(s, u)
	}
}

func (c *cacheLists) list(s *service, u registry.Upstream) {
	g := c.gateway
	c.slots <- struct{}{}
	defer func() { <-c.slots }()
	if g.isEvacuated(u.Domain) {
		c.forget(u)
		return
	}
	asked := time.Now()
	parts, leftOut, err := g.options.Engines.ListCache(g.background, u)
	if err != nil {
		g.log.Warn("cache not listed", zap.String("upstream", string(u.ID)), zap.Error(err))
		return
	}
	s.restoreCache(u, parts)
	if leftOut > 0 {
		unsoundCacheEntries.Add(string(s.id), int64(leftOut))
		g.log.Warn("unsound cache entries left out", zap.String("upstream", string(u.ID)), zap.Int("left_out", leftOut), zap.Int("parts", len(parts)))
	}
	g.log.Info("cache listed", zap.String("upstream", string(u.ID)), zap.Int("parts", len(parts)),
		zap.Int("tokens", placement.Prompt(parts).Tokens()), zap.Duration("took", time.Since(asked)))
}

// forget makes an engine be asked at the next update of its service.
func (c *cacheLists) forget(u registry.Upstream) {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	delete(c.requested, keyOf(u))
}

func (s *service) restoreCache(engine registry.Upstream, parts []placement.Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.RestoreCache(engine, parts)
}

// cachesPrompts reports whether the service's upstreams are engines, which cache
// prompts.
func (s *service) cachesPrompts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.CachesPrompts()
}
