// Package node provides what routers, gateways and sidecars have in common: the set of
// sessions with peers, the adoption of the configuration, the list of suspects, and the
// setup of listeners, TLS and telemetry.
package node

import (
	"cmp"
	"slices"
	"sync"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Sessions is the set of open sessions, at most one per peer. It is safe for concurrent
// use.
type Sessions struct {
	mu   sync.RWMutex
	byID map[fleet.NodeID]*peer.Session
}

// NewSessions returns an empty set.
func NewSessions() *Sessions {
	return &Sessions{byID: make(map[fleet.NodeID]*peer.Session)}
}

// Add registers s and closes the session with the same peer that it replaces. If the
// registered session takes precedence, Add closes s instead and returns false.
func (x *Sessions) Add(s *peer.Session) bool {
	x.mu.Lock()
	old := x.byID[s.ID()]
	stale := old != nil && takesPrecedence(old, s)
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

// takesPrecedence reports whether a registered session is kept when s is added. A session
// with a newer incarnation of the peer replaces an older one; between sessions with the
// same incarnation, the preferred one is kept, and otherwise the newer one.
func takesPrecedence(registered, s *peer.Session) bool {
	if registered.Incarnation() != s.Incarnation() {
		return registered.Incarnation() > s.Incarnation()
	}
	return registered.Preferred() && !s.Preferred()
}

// Remove removes s. It returns false if s is not registered, as when another session has
// replaced it.
func (x *Sessions) Remove(s *peer.Session) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.byID[s.ID()] != s {
		return false
	}
	delete(x.byID, s.ID())
	return true
}

// Get returns the session with a peer, or nil.
func (x *Sessions) Get(id fleet.NodeID) *peer.Session {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.byID[id]
}

// Send queues a message to a peer. Without a session with the peer, it does nothing.
func (x *Sessions) Send(id fleet.NodeID, env *peerpb.Envelope) {
	if s := x.Get(id); s != nil {
		s.Send(env)
	}
}

// ByRole returns the sessions with peers of one role, sorted by identifier.
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

// SendHeartbeats sends a heartbeat to every peer without waiting for the heartbeat
// interval, to report a change of this process's generation or draining state.
func (x *Sessions) SendHeartbeats() {
	x.mu.RLock()
	defer x.mu.RUnlock()
	for _, s := range x.byID {
		s.SendHeartbeat()
	}
}

// RouterIDs returns the identifiers of the connected routers of a region, sorted.
func (x *Sessions) RouterIDs(region fleet.RegionID) []fleet.NodeID {
	var ids []fleet.NodeID
	for _, s := range x.ByRole(peerpb.Role_ROLE_ROUTER) {
		if s.Location().Region == region {
			ids = append(ids, s.ID())
		}
	}
	return ids
}
