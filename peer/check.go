package peer

import (
	"math"
	"net"
	"strconv"
	"time"

	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/registry"
)

// Bounds of the values in messages. What is beyond them comes from a corrupted process or
// another protocol.
const (
	// maxNameBytes is the length of the longest identifier.
	maxNameBytes = 1 << 10
	// maxAddressBytes is the length of the longest address: a DNS name and a port.
	maxAddressBytes = 253 + len(":65535")
	// maxRegionsBytes is the length of the longest list of home regions.
	maxRegionsBytes = 4 << 10
	// maxGeneration is the highest configuration generation. Versions are signed in the
	// store's API.
	maxGeneration = math.MaxInt64
	// maxAmount is the absolute value of the largest amount of tokens or service.
	maxAmount = 1e18
	// maxClockDifference is how far a peer's clock may be ahead.
	maxClockDifference = time.Hour
)

// leftOut counts the unsound parts of a message that are left out, by kind.
type leftOut map[string]int

// check removes what can't be true from a message and returns what it has left out. The rest
// of the message is kept.
func check(now time.Time, env *peerpb.Envelope) leftOut {
	out := make(leftOut)
	if env.Generation > maxGeneration {
		out["generation"]++
		env.Generation = 0
	}
	switch b := env.Body.(type) {
	case *peerpb.Envelope_LoadReport:
		out.checkLoadReport(b.LoadReport)
	case *peerpb.Envelope_RegistryUpdate:
		out.checkRegistryUpdate(b.RegistryUpdate)
	case *peerpb.Envelope_Suspects:
		out.checkSuspects(b.Suspects)
	case *peerpb.Envelope_Crashes:
		out.checkCrashes(b.Crashes)
	case *peerpb.Envelope_Limits:
		b.Limits.Limits = keep(out, "limit", b.Limits.Limits, func(l *peerpb.UpstreamLimit) bool { return soundLimit(now, l) })
	case *peerpb.Envelope_VmList:
		b.VmList.Changes = keep(out, "vm", b.VmList.Changes, func(c *peerpb.VMChange) bool { return isName(c.GetVm()) })
	case *peerpb.Envelope_Load:
		if !soundSidecarLoad(b.Load) {
			out.dropBody(env)
		}
	case *peerpb.Envelope_Demand:
		b.Demand.Demands = keep(out, "demand", b.Demand.Demands, func(d *peerpb.Demand) bool { return isName(d.GetTeam()) })
	default:
		out.checkAccounts(env)
	}
	return out
}

// dropBody leaves out a message as a whole.
func (o leftOut) dropBody(env *peerpb.Envelope) {
	o[messageKind(env)]++
	env.Body = nil
}

// keep returns the sound entries of a list and counts the others.
func keep[T any](out leftOut, kind string, list []T, sound func(T) bool) []T {
	kept := list[:0]
	for _, entry := range list {
		if sound(entry) {
			kept = append(kept, entry)
		} else {
			out[kind]++
		}
	}
	return kept
}

// limitLength returns the first entries of a list and counts those beyond the maximum.
func limitLength[T any](out leftOut, kind string, list []T, maximum int) []T {
	if excess := len(list) - maximum; excess > 0 {
		out[kind] += excess
		return list[:maximum]
	}
	return list
}

// checkRevision replaces a revision that no store has reached by zero, an unknown one.
func (o leftOut) checkRevision(revision *uint64) {
	if *revision > registry.MaxRevision {
		o["revision"]++
		*revision = 0
	}
}

// checkRegistryUpdate lowers the revision to that of the newest registration in the message,
// which is what its sender knows. A higher one would keep later lists of the store out.
func (o leftOut) checkRegistryUpdate(m *peerpb.RegistryUpdate) {
	newest := uint64(0)
	for _, registration := range m.GetRegistrations() {
		newest = max(newest, registration.GetRevision())
	}
	if m.Revision <= newest {
		return
	}
	if len(m.GetRegistrations()) > 0 || m.Revision > registry.MaxRevision {
		o["revision"]++
	}
	m.Revision = newest
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func isAmount(v float64) bool { return math.Abs(v) <= maxAmount }

func isCount(v float64) bool { return v >= 0 && v <= maxAmount }

// isAddress reports whether a text is a host and a port.
func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" || len(s) > maxAddressBytes {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
