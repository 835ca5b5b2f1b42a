package retry

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Members counts the routers that may spend a part of a shared budget. It answers
// routers that lose sight of each other while all of them reach the upstreams: who is
// not seen may serve on, and has its part for as long as TTL.
type Members struct {
	ttl time.Duration
	// listed is set once all registered routers were heard of.
	listed bool
	// seen is when each other router was last connected, or first heard of.
	seen map[fleet.NodeID]time.Time
}

// NewMembers returns a fleet of which nothing is known yet. A router counts for ttl
// after it was last seen.
func NewMembers(ttl time.Duration) *Members {
	return &Members{ttl: ttl, seen: make(map[fleet.NodeID]time.Time)}
}

// SetTTL takes a new setting.
func (m *Members) SetTTL(ttl time.Duration) { m.ttl = ttl }

// Seen notes that another router is connected now.
func (m *Members) Seen(now time.Time, id fleet.NodeID) { m.seen[id] = now }

// Listed takes the identifiers of all registered routers but this one. Those that
// were not heard of before count from now on.
func (m *Members) Listed(now time.Time, ids []fleet.NodeID) {
	m.listed = true
	for _, id := range ids {
		if _, known := m.seen[id]; !known {
			m.seen[id] = now
		}
	}
}

// Count returns the number of routers, this one included; zero while it is not
// known.
func (m *Members) Count(now time.Time) int {
	if !m.listed {
		return 0
	}
	count := 1
	for _, at := range m.seen {
		if now.Sub(at) < m.ttl {
			count++
		}
	}
	return count
}
