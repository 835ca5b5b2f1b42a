// Package aggregate decides which gateway speaks for its failure domain: it sums the
// loads of the domain's gateways for the other domains, and hands their sums on to
// its own. It answers fleets whose gateways are too many for each to tell every other
// one. It has no I/O and no clock.
//
// Invariant: gateways that know the same candidates elect the same one. Those that
// don't may have two aggregators, or none, for a while: a sum replaces the sum of the
// same domain before it, and what is not replaced lapses.
package aggregate

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Candidate is a gateway that may be elected.
type Candidate struct {
	ID     fleet.NodeID
	Domain fleet.FailureDomainID
	// Processors is the processor time that it may use, in cores.
	Processors float64
	// LastHeard is when it was last heard of.
	LastHeard time.Time
	// Leaving gateways are about to end, or can't keep up.
	Leaving bool
}

// Elect returns the aggregator of each failure domain: of the gateways that were
// heard of within silence and stay, the one with the most processor time.
func Elect(now time.Time, silence time.Duration, candidates []Candidate) map[fleet.FailureDomainID]fleet.NodeID {
	best := make(map[fleet.FailureDomainID]Candidate)
	for _, c := range candidates {
		if c.Leaving || now.Sub(c.LastHeard) > silence {
			continue
		}
		if held, ok := best[c.Domain]; !ok || c.outranks(held) {
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
