package sidecar

import (
	"expvar"
	"time"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Slot usage counters, in seconds times slots. The waiting ones cover only the
// time in which this sidecar knew of waiting requests.
var (
	slotSeconds        = expvar.NewFloat("sidecar_slot_seconds")
	busySeconds        = expvar.NewFloat("sidecar_busy_seconds")
	slotSecondsWaiting = expvar.NewFloat("sidecar_slot_seconds_waiting")
	busySecondsWaiting = expvar.NewFloat("sidecar_busy_seconds_waiting")
)

// slotUsage integrates busy slots over time.
type slotUsage struct {
	last time.Time
}

// observeUsage counts the time since the last event at the state that held
// since then.
func (s *scheduler) observeUsage() {
	now := time.Now()
	elapsed := now.Sub(s.usage.last).Seconds()
	if s.usage.last.IsZero() {
		elapsed = 0
	}
	s.usage.last = now
	load := s.machine.Load()
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

// setAccepting accepts new work unless there is a reason not to.
func (s *scheduler) setAccepting(reason fleet.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reason = reason
	s.stepLocked(dispatch.SetAccepting{Accepting: reason == fleet.ReasonNone})
}

func (s *scheduler) load() dispatch.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.Load()
}

// announceLoad tells every router when the sidecar starts or stops accepting,
// and when its first slot frees, its last one fills or its reason changes.
func (s *scheduler) announceLoad() {
	load := s.machine.Load()
	last := s.announced
	changed := load.Accepting != last.Accepting || load.Slots != last.Slots ||
		(load.FreeSlots > 0) != (last.FreeSlots > 0) || s.reason != s.announcedReason
	if !changed {
		return
	}
	s.announced = load
	s.announcedReason = s.reason
	s.broadcastLoad()
}

func (s *scheduler) broadcastLoad() {
	for _, session := range s.sessions.All(peerpb.Role_ROLE_ROUTER) {
		session.Send(s.loadEnvelope())
	}
}

// loadMessage returns the message that a new session starts with.
func (s *scheduler) loadMessage() *peerpb.Envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadEnvelope()
}

// loadEnvelope returns a new message: each session stamps its own. The lock is
// held.
func (s *scheduler) loadEnvelope() *peerpb.Envelope {
	load := s.machine.Load()
	m := &peerpb.Load{
		Slots:     uint32(load.Slots),
		FreeSlots: uint32(load.FreeSlots),
		Accepting: load.Accepting,
		Reason:    string(s.reason),
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Load{Load: m}}
}
