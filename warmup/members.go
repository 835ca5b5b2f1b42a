package warmup

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// MembersOptions configure Members.
type MembersOptions struct {
	// Self is this router, and Domain its failure domain.
	Self   fleet.NodeID
	Domain fleet.FailureDomainID
	// TTL is how long a router that is neither registered nor connected remains a
	// member: it may be partitioned from the others and still reach the upstreams.
	TTL time.Duration
	// Settle is how long this router, once it knows the registered routers, waits at
	// most before it sends to cold upstreams. Meanwhile the other routers learn of it and
	// stop sending in its place. The wait ends early when all of them have been
	// connected.
	Settle time.Duration
}

// Members tracks the routers that may send to cold upstreams: all that are registered in
// the store or were connected within the TTL, whether they run or not. The share of a
// router that does not run is lost while the upstream is cold. No other router takes it
// over, so a partition between routers causes no disagreement.
type Members struct {
	options MembersOptions
	// knownAt is when the list of registered routers was first received.
	knownAt time.Time
	// settledAt is when all registered routers had been connected for the first time.
	settledAt time.Time
	members   map[fleet.NodeID]*member
}

type member struct {
	domain     fleet.FailureDomainID
	registered bool
	// connected is set once the router has been connected, so that it knows this one.
	connected bool
	// seen is when the router was last connected or registered.
	seen time.Time
}

// NewMembers returns Members that contain only this router.
func NewMembers(options MembersOptions) *Members {
	return &Members{options: options, members: make(map[fleet.NodeID]*member)}
}

// SetTTL changes the TTL.
func (m *Members) SetTTL(ttl time.Duration) { m.options.TTL = ttl }

// SetRegistered applies the complete list of registered routers with their failure
// domains, which are empty if unknown. It reports whether the fleet changed.
func (m *Members) SetRegistered(now time.Time, registered map[fleet.NodeID]fleet.FailureDomainID) bool {
	changed := m.knownAt.IsZero()
	if changed {
		m.knownAt = now
	}
	for id, known := range m.members {
		if _, ok := registered[id]; known.registered && !ok {
			known.registered = false
			known.seen = now
		}
	}
	for id, domain := range registered {
		changed = m.add(now, id, domain) || changed
		if id != m.options.Self {
			m.members[id].registered = true
		}
	}
	changed = m.expire(now) || changed
	return m.settle(now) || changed
}

// MarkConnected records that another router is, or was until now, connected. It reports
// whether the fleet changed.
func (m *Members) MarkConnected(now time.Time, id fleet.NodeID, domain fleet.FailureDomainID) bool {
	if id == m.options.Self {
		return false
	}
	changed := m.add(now, id, domain)
	m.members[id].connected = true
	return m.settle(now) || changed
}

// settle ends the wait of this router if all registered routers have been connected. It
// reports whether it did.
func (m *Members) settle(now time.Time) bool {
	if m.knownAt.IsZero() || !m.settledAt.IsZero() {
		return false
	}
	for _, known := range m.members {
		if known.registered && !known.connected {
			return false
		}
	}
	m.settledAt = now
	return true
}

// add adds or refreshes another router. An empty domain leaves a known one unchanged.
func (m *Members) add(now time.Time, id fleet.NodeID, domain fleet.FailureDomainID) bool {
	if id == m.options.Self {
		return false
	}
	known := m.members[id]
	if known == nil {
		m.members[id] = &member{domain: domain, seen: now}
		return true
	}
	known.seen = now
	if domain == "" || domain == known.domain {
		return false
	}
	known.domain = domain
	return true
}

// expire removes the routers that were not seen for the TTL. It reports whether there were
// any.
func (m *Members) expire(now time.Time) bool {
	expired := false
	for id, known := range m.members {
		if !known.registered && now.Sub(known.seen) >= m.options.TTL {
			delete(m.members, id)
			expired = true
		}
	}
	return expired
}

// Fleet returns the current members. regions maps each failure domain to its region; a
// router without a known region is a candidate only for upstreams of regions without
// routers.
func (m *Members) Fleet(regions map[fleet.FailureDomainID]fleet.RegionID) *Fleet {
	f := &Fleet{self: m.options.Self, byRegion: make(map[fleet.RegionID][]router), knownAt: m.knownAt}
	if !m.knownAt.IsZero() {
		f.sendsFrom = m.knownAt.Add(m.options.Settle)
	}
	if !m.settledAt.IsZero() && m.settledAt.Before(f.sendsFrom) {
		f.sendsFrom = m.settledAt
	}
	f.add(m.options.Self, regions[m.options.Domain])
	for id, known := range m.members {
		f.add(id, regions[known.domain])
	}
	return f
}

func (f *Fleet) add(id fleet.NodeID, region fleet.RegionID) {
	r := router{id: id, hash: xxhash.Sum64String(string(id))}
	f.routers = append(f.routers, r)
	if region != "" {
		f.byRegion[region] = append(f.byRegion[region], r)
	}
}
