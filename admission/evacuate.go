package admission

import "fulmarspindle.example/fulmarspindle/fleet"

// SetEvacuated replaces the evacuated failure domains. Their upstreams get no new requests
// and are not copied from. The state of their caches and of the running requests is kept
// for their return.
func (s *Scheduler) SetEvacuated(domains []fleet.FailureDomainID) {
	s.evacuated = make(map[fleet.FailureDomainID]bool, len(domains))
	for _, domain := range domains {
		s.evacuated[domain] = true
	}
	for _, u := range s.upstreams {
		u.evacuated = s.evacuated[u.Domain]
	}
}
