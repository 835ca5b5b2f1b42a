// Package aggregate elects the aggregator of each failure domain: the gateway that
// sends the sum of its domain's loads to the other domains and distributes their sums
// within its own. Aggregation is meant for fleets with too many gateways for a full
// mesh of load reports. The package does no I/O and reads no clock.
//
// Invariant: gateways with the same set of candidates elect the same aggregator.
// While their sets differ, a domain may temporarily have two aggregators or none. This
// is harmless: a sum replaces the previous sum of the same domain, and a sum that is
// not replaced expires.
package aggregate

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Candidate is a gateway that takes part in the election.
type Candidate struct {
	ID     fleet.NodeID
	Domain fleet.FailureDomainID
	// Processors is the processor time available to the gateway, in cores.
	Processors float64
	// LastHeard is when the gateway last sent a message.
	LastHeard time.Time
	// Leaving is set for a gateway that is shutting down or can't keep up; it is not
	// elected.
	Leaving bool
}

// Elect returns the aggregator of each failure domain: the gateway with the most
// processor time among those that are not leaving and were last heard from within the
// silence timeout. The lower identifier breaks ties.
func Elect(now time.Time, silence time.Duration, candidates []Candidate) map[fleet.FailureDomainID]fleet.NodeID {
	best := make(map[fleet.FailureDomainID]Candidate)
	for _, c := range candidates {
		if c.Leaving || now.Sub(c.LastHeard) > silence {
			continue
		}
		if current, ok := best[c.Domain]; !ok || c.outranks(current) {
			best[c.Domain] = c
		}
	}
	elected := make(map[fleet.FailureDomainID]fleet.NodeID, len(best))
	for domain, c := range best {
		elected[domain] = c.ID
	}
	return elected
}

func (c Candidate) outranks(other Candidate) bool {
	if c.Processors != other.Processors {
		return c.Processors > other.Processors
	}
	return c.ID < other.ID
}
