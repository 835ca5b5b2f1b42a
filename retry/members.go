package retry

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Members counts the routers that may spend a share of the budget. During a
// network partition between routers, a disconnected router may still reach the
// upstreams and send retries, so it keeps its share until its TTL expires.
type Members struct {
	ttl time.Duration
	// registeredKnown is set once the list of registered routers was received.
	registeredKnown bool
	// lastSeen is when each other router was last connected or, if it never was,
	// first listed.
	lastSeen map[fleet.NodeID]time.Time
}

// NewMembers returns an empty Members. A router is counted until ttl after it was
// last seen.
func NewMembers(ttl time.Duration) *Members {
	return &Members{ttl: ttl, lastSeen: make(map[fleet.NodeID]time.Time)}
}

// SetTTL changes the TTL.
func (m *Members) SetTTL(ttl time.Duration) { m.ttl = ttl }

// MarkConnected records that another router is connected.
func (m *Members) MarkConnected(now time.Time, id fleet.NodeID) { m.lastSeen[id] = now }

// AddRegistered records the identifiers of all registered routers other than this one.
// Routers not seen before are counted from now on.
func (m *Members) AddRegistered(now time.Time, ids []fleet.NodeID) {
	m.registeredKnown = true
	for _, id := range ids {
		if _, known := m.lastSeen[id]; !known {
			m.lastSeen[id] = now
		}
	}
}

// Count returns the number of routers including this one, or zero while it is unknown.
func (m *Members) Count(now time.Time) int {
	if !m.registeredKnown {
		return 0
	}
	count := 1
	for _, seenAt := range m.lastSeen {
		if now.Sub(seenAt) < m.ttl {
			count++
		}
	}
	return count
}
