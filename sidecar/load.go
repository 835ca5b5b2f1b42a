package sidecar

import (
	"expvar"
	"time"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Slot usage counters, in slot-seconds. The waiting counters include only the time
// in which this sidecar knew of waiting requests.
var (
	slotSeconds        = expvar.NewFloat("sidecar_slot_seconds")
	busySeconds        = expvar.NewFloat("sidecar_busy_seconds")
	slotSecondsWaiting = expvar.NewFloat("sidecar_slot_seconds_waiting")
	busySecondsWaiting = expvar.NewFloat("sidecar_busy_seconds_waiting")
)

// slotUsage is the state from which the slot usage counters are updated.
type slotUsage struct {
	updated time.Time
}

// recordUsage adds the time since its last call to the slot usage counters, at
// the current numbers of slots and running requests. It must be called before
// these change.
func (s *scheduler) recordUsage() {
	now := time.Now()
	elapsed := now.Sub(s.usage.updated).Seconds()
	if s.usage.updated.IsZero() {
		elapsed = 0
	}
	s.usage.updated = now
	load := s.dispatcher.Load()
	if !load.Accepting {
		return
	}
	slots := float64(load.Slots) * elapsed
	busy := float64(s.running) * elapsed
	slotSeconds.Add(slots)
	busySeconds.Add(busy)
	if len(s.waiting) > 0 {
		slotSecondsWaiting.Add(slots)
		busySecondsWaiting.Add(busy)
	}
}

// setAccepting starts accepting new requests if the reason is ReasonNone, and stops
// otherwise.
func (s *scheduler) setAccepting(reason fleet.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notAcceptingReason = reason
	s.stepLocked(dispatch.SetAccepting{Accepting: reason == fleet.ReasonNone})
}

func (s *scheduler) load() dispatch.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Load()
}

// broadcastLoadChange sends the load to every router when the sidecar starts or
// stops accepting requests, the reason for not accepting or the number of slots
// changes, the first slot becomes free or the last one is taken.
func (s *scheduler) broadcastLoadChange() {
	load := s.dispatcher.Load()
	last := s.announcedLoad
	changed := load.Accepting != last.Accepting || load.Slots != last.Slots ||
		(load.FreeSlots > 0) != (last.FreeSlots > 0) || s.notAcceptingReason != s.announcedReason
	if !changed {
		return
	}
	s.announcedLoad = load
	s.announcedReason = s.notAcceptingReason
	s.broadcastLoad()
}

func (s *scheduler) broadcastLoad() {
	for _, session := range s.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		session.Send(s.newLoadMessage())
	}
}

// loadMessage returns the load message that is sent first on a new session.
func (s *scheduler) loadMessage() *peerpb.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newLoadMessage()
}

// newLoadMessage returns a new load message. Messages must not be shared between
// sessions, since each session sets fields of its own in the envelope. The caller
// must hold the lock.
func (s *scheduler) newLoadMessage() *peerpb.Envelope {
	load := s.dispatcher.Load()
	m := &peerpb.Load{
		Slots:     uint32(load.Slots),
		FreeSlots: uint32(load.FreeSlots),
		Accepting: load.Accepting,
		Reason:    string(s.notAcceptingReason),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Load{Load: m}}
}
