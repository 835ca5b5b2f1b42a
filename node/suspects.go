package node

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

// SuspectsEnvelope encodes suspects for another process.
func SuspectsEnvelope(list []quarantine.Suspect) *peerpb.Envelope {
	update := &peerpb.SuspectUpdate{}
	for _, s := range list {
		update.Suspects = append(update.Suspects, &peerpb.Suspect{
			Digest:        s.Digest,
			CrashIds:      s.CrashIDs,
			ExpiresUnixMs: uint64(s.Expires.UnixMilli()),
			Team:          string(s.Team),
			Service:       string(s.Service),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Suspects{Suspects: update}}
}

// SuspectsFromWire decodes suspects of another process.
func SuspectsFromWire(m *peerpb.SuspectUpdate) []quarantine.Suspect {
	var list []quarantine.Suspect
	for _, s := range m.GetSuspects() {
		list = append(list, quarantine.Suspect{
			Digest:   s.GetDigest(),
			CrashIDs: s.GetCrashIds(),
			Expires:  time.UnixMilli(int64(s.GetExpiresUnixMs())),
			Team:     fleet.TeamID(s.GetTeam()),
			Service:  fleet.ServiceID(s.GetService()),
		})
	}
	return list
}
