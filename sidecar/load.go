package sidecar

import (
	"expvar"
	"time"

	"fulmarspindle.example/fulmarspindle/dispatch"
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

// announceLoad tells every router when the sidecar starts or stops accepting,
// and when its first slot frees or its last one fills.
func (s *scheduler) announceLoad() {
	load := s.machine.Load()
	last := s.lastLoad
	changed := load.Accepting != last.Accepting || load.Slots != last.Slots ||
		(load.FreeSlots > 0) != (last.FreeSlots > 0)
	if !changed {
		return
	}
	s.lastLoad = load
	s.broadcastLoad(load)
}

func (s *scheduler) broadcastLoad(load dispatch.Load) {
	env := loadEnvelope(load)
	for _, session := range s.sessions.All(peerpb.Role_ROLE_ROUTER) {
		session.Send(env())
	}
}

// loadEnvelope returns a maker of messages: each session stamps its own.
func loadEnvelope(load dispatch.Load) func() *peerpb.Envelope {
	return func() *peerpb.Envelope {
		m := &peerpb.Load{
			Slots:     uint32(load.Slots),
			FreeSlots: uint32(load.FreeSlots),
			Accepting: load.Accepting,
		}
		return &peerpb.Envelope{Body: &peerpb.Envelope_Load{Load: m}}
	}
}
