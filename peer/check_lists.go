package peer

import (
	"time"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// Bounds of the lists of crashes and limits.
const (
	// maxReportedSuspects and maxReportedCrashes bound the entries of a message.
	maxReportedSuspects = 4096
	maxReportedCrashes  = 1024
	// maxLimitRate is the highest limit that an upstream may name, in requests per second.
	maxLimitRate = 1e9
	// maxLimitVersion is the highest version of a limit. It increases with each change.
	maxLimitVersion = 1 << 48
)

func (o leftOut) checkSuspects(m *peerpb.SuspectUpdate) {
	for _, s := range m.GetSuspects() {
		s.CrashIds = keep(o, "crash_id", s.CrashIds, isName)
	}
	m.Suspects = keep(o, "suspect", m.Suspects, func(s *peerpb.Suspect) bool {
		return isName(s.GetDigest()) && len(s.GetCrashIds()) > 0 && len(s.GetTeam()) <= maxNameBytes && len(s.GetService()) <= maxNameBytes
	})
	m.Suspects = limitLength(o, "suspect", m.Suspects, maxReportedSuspects)
}

func (o leftOut) checkCrashes(m *peerpb.CrashUpdate) {
	m.Crashes = keep(o, "crash", m.Crashes, func(c *peerpb.Crash) bool { return isName(c.GetId()) && len(c.GetService()) <= maxNameBytes })
	m.Crashes = limitLength(o, "crash", m.Crashes, maxReportedCrashes)
	for _, c := range m.Crashes {
		c.Parts = keep(o, "crash_part", c.Parts, func(p *peerpb.SuspectPart) bool { return p.GetId() != 0 })
	}
}

// soundLimit rejects limits of an incarnation that has not started yet and versions that no
// number of changes reaches: either would keep true ones from being applied.
func soundLimit(now time.Time, l *peerpb.UpstreamLimit) bool {
	return isName(l.GetService()) && isName(l.GetUpstream()) &&
		l.GetRate() >= 0 && l.GetRate() <= maxLimitRate && l.GetVersion() <= maxLimitVersion &&
		l.GetStartedUnixMs() >= 0 && l.GetStartedUnixMs() <= now.Add(maxClockDifference).UnixMilli()
}
