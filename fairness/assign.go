package fairness

import (
	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// AssignKeeper returns the router that keeps a team's account for a service. It
// uses rendezvous hashing over the live routers of a region, so the result does
// not depend on their order. It returns false if there are no routers.
func AssignKeeper(service fleet.ServiceID, team fleet.TeamID, routers []fleet.NodeID) (fleet.NodeID, bool) {
	var best fleet.NodeID
	var bestScore uint64
	for i, router := range routers {
		score := rendezvousScore(service, team, router)
		if i == 0 || score > bestScore || (score == bestScore && router < best) {
			best = router
			bestScore = score
		}
	}
	return best, len(routers) > 0
}

func rendezvousScore(service fleet.ServiceID, team fleet.TeamID, router fleet.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	separator := [1]byte{}
	_, _ = d.WriteString(string(service))
	_, _ = d.Write(separator[:])
	_, _ = d.WriteString(string(team))
	_, _ = d.Write(separator[:])
	_, _ = d.WriteString(string(router))
	return d.Sum64()
}

// KeeperReport is the part of a report that is addressed to one keeper.
type KeeperReport struct {
	Keeper fleet.NodeID
	Report Report
}

// SplitReport partitions a report by the keepers of its teams, in the order in
// which the keepers first occur. Teams without a keeper are omitted; the ledger
// reports them again.
func SplitReport(r Report, keeperOf func(fleet.TeamID) (fleet.NodeID, bool)) []KeeperReport {
	var parts []KeeperReport
	index := make(map[fleet.NodeID]int)
	for _, entry := range r.Teams {
		keeper, ok := keeperOf(entry.Team)
		if !ok {
			continue
		}
		i, known := index[keeper]
		if !known {
			i = len(parts)
			index[keeper] = i
			part := Report{Seq: r.Seq, VirtualTime: r.VirtualTime}
			parts = append(parts, KeeperReport{Keeper: keeper, Report: part})
		}
		parts[i].Report.Teams = append(parts[i].Report.Teams, entry)
	}
	return parts
}
