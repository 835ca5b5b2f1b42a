// Package node holds what routers and sidecars have in common: the sessions to
// their peers, and the adoption of the configuration.
package node

import (
	"cmp"
	"slices"
	"sync"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Sessions is the set of open sessions, one for each peer. It is safe for
// concurrent use.
type Sessions struct {
	mu   sync.RWMutex
	byID map[fleet.NodeID]*peer.Session
}

// NewSessions returns an empty set.
func NewSessions() *Sessions {
	return &Sessions{byID: make(map[fleet.NodeID]*peer.Session)}
}

// Add registers s and closes the session to the same peer that it replaces. It
// returns false, and closes s, if the registered session stays.
func (x *Sessions) Add(s *peer.Session) bool {
	x.mu.Lock()
	old := x.byID[s.ID()]
	stale := old != nil && outranks(old, s)
	if !stale {
		x.byID[s.ID()] = s
	}
	x.mu.Unlock()
	if stale {
		s.Close()
		return false
	}
	if old != nil {
		old.Close()
	}
	return true
}

// outranks reports whether a registered session stays when s comes.
func outranks(registered, s *peer.Session) bool {
	if registered.Incarnation() != s.Incarnation() {
		return registered.Incarnation() > s.Incarnation()
	}
	return registered.Preferred() && !s.Preferred()
}

// Remove forgets s. It returns false if another session had taken its place.
func (x *Sessions) Remove(s *peer.Session) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byID[s.ID()] != s {
		return false
	}
	delete(x.byID, s.ID())
	return true
}

// Get returns the session to a peer, or nil.
func (x *Sessions) Get(id fleet.NodeID) *peer.Session {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.byID[id]
}

// Send sends a message to a peer, if there is a session to it.
func (x *Sessions) Send(id fleet.NodeID, env *peerpb.Envelope) {
	if s := x.Get(id); s != nil {
		s.Send(env)
	}
}

// ByRole returns the sessions to peers of one role, ordered by identifier.
func (x *Sessions) ByRole(role peerpb.Role) []*peer.Session {
	x.mu.RLock()
	defer x.mu.RUnlock()
	var out []*peer.Session
	for _, s := range x.byID {
		if s.Role() == role {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *peer.Session) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}

// SendHeartbeats tells every peer this process's generation and whether it drains.
func (x *Sessions) SendHeartbeats() {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, s := range x.byID {
		s.SendHeartbeat()
	}
}

// RouterIDs returns the identifiers of the connected routers of a region, in
// order.
func (x *Sessions) RouterIDs(region fleet.RegionID) []fleet.NodeID {
	var ids []fleet.NodeID
	for _, s := range x.ByRole(peerpb.Role_ROLE_ROUTER) {
		if s.Location().Region == region {
			ids = append(ids, s.ID())
		}
	}
	return ids
}
