package admission

import (
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// CachesPrompts reports whether the upstreams are engines that cache prompt parts.
func (s *Scheduler) CachesPrompts() bool { return s.capacity.MemoryTokens > 0 }

// RestoreCache passes the list of parts that an engine reports as cached to its estimated
// cache, unless the engine has started anew since it was asked.
func (s *Scheduler) RestoreCache(engine registry.Upstream, parts []placement.Part) {
	u := s.upstreams[engine.ID]
	if u != nil && u.StartedUnixMs == engine.StartedUnixMs && u.Address == engine.Address {
		u.cache.Restore(parts)
	}
}
