package admission

import (
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/placement"
)

// CachesPrompts reports whether the upstreams are engines that cache prompt parts.
func (s *Scheduler) CachesPrompts() bool { return s.capacity.MemoryTokens > 0 }

// RestoreCache passes the list of parts that an engine reports as cached to its estimated
// cache.
func (s *Scheduler) RestoreCache(id fleet.UpstreamID, parts []placement.Part) {
	if u := s.upstreams[id]; u != nil {
		u.cache.Restore(parts)
	}
}
