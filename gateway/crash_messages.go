package gateway

import (
	"math"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

func crashEnvelope(now time.Time, list []quarantine.Crash) *peerpb.Envelope {
	update := &peerpb.CrashUpdate{}
	for _, c := range list {
		m := &peerpb.Crash{Id: c.ID, Service: string(c.Service), AgeMs: ageToWire(now.Sub(c.At)), Refuted: c.Refuted}
		for _, part := range c.Parts {
			m.Parts = append(m.Parts, &peerpb.SuspectPart{
				Id: uint64(part.ID), Parent: uint64(part.Parent), Name: part.Name, Waiting: part.Waiting, Cleared: part.Cleared,
			})
		}
		update.Crashes = append(update.Crashes, m)
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Crashes{Crashes: update}}
}

// ageToWire encodes an age in milliseconds.
func ageToWire(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// crashesFromProto decodes the crashes of another router. Those without an ID are left
// out.
func crashesFromProto(now time.Time, m *peerpb.CrashUpdate) []quarantine.Crash {
	var list []quarantine.Crash
	for _, crash := range m.GetCrashes() {
		if crash.GetId() == "" {
			continue
		}
		c := quarantine.Crash{
			ID: crash.GetId(), Service: fleet.ServiceID(crash.GetService()), Refuted: crash.GetRefuted(),
			At: now.Add(-time.Duration(crash.GetAgeMs()) * time.Millisecond),
		}
		for _, part := range crash.GetParts() {
			c.Parts = append(c.Parts, quarantine.SuspectPart{
				ID: quarantine.PartID(part.GetId()), Parent: quarantine.PartID(part.GetParent()), Name: part.GetName(),
				Waiting: part.GetWaiting(), Cleared: part.GetCleared(),
			})
		}
		list = append(list, c)
	}
	return list
}
