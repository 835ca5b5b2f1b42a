package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// TeamUpdate is a team's changed account, sent to a reporter without a preceding
// report.
type TeamUpdate struct {
	Team fleet.TeamID
	// Base is the account without the reporter's own charges, in normalized
	// service.
	Base float64
	// Seq is the reporter's last report that included the team.
	Seq uint64
}

// Update carries changed accounts to one reporter.
type Update struct {
	VirtualTime float64
	Teams       []TeamUpdate
}

// ReporterUpdate is an update with the reporter that it is addressed to.
type ReporterUpdate struct {
	Reporter fleet.NodeID
	Update   Update
}

// minSignificantChange is the least change of an account that is sent in an
// update, as a fraction of the team's typical charge. Smaller changes are sent
// with the next answer.
const minSignificantChange = 0.5

// Updates returns the accounts that changed since they were last sent to their
// reporters, for the reporters that reported the team within the activity TTL. The
// accounts of sidecars thus lag by the interval of these calls rather than by that
// of their own reports. The lag matters because all sidecars favor the team with
// the least account: everything that the fleet grants within the lag may go to one
// team.
func (k *Keeper) Updates(now time.Time) []ReporterUpdate {
	at := now.Sub(k.start)
	byReporter := make(map[uint32][]TeamUpdate)
	for _, t := range k.teams {
		account := t.account()
		for i := range t.counters {
			c := &t.counters[i]
			base := account - c.charged
			if at-c.lastSeen > k.cfg.ActivityTTL || !t.isSignificant(base-c.sentBase) {
				continue
			}
			c.sentBase = base
			update := TeamUpdate{Team: t.id, Base: base, Seq: c.seq}
			byReporter[c.reporter] = append(byReporter[c.reporter], update)
		}
	}
	var out []ReporterUpdate
	for _, r := range k.reporters {
		teams := byReporter[r.number]
		if len(teams) == 0 {
			continue
		}
		slices.SortFunc(teams, func(a, b TeamUpdate) int { return cmp.Compare(a.Team, b.Team) })
		update := Update{VirtualTime: k.virtualTime, Teams: teams}
		out = append(out, ReporterUpdate{Reporter: r.id.node, Update: update})
	}
	return out
}

func (t *teamState) isSignificant(change float64) bool {
	return change != 0 && math.Abs(change) >= minSignificantChange*t.typicalCharge.value
}

// needsAnswer reports whether a reporter is to be answered with a team's total,
// and records the answer. A reporter without a total of this keeper is always
// answered.
func (t *teamState) needsAnswer(
	reporter uint32, entry *TeamReport, self fleet.Incarnation, at, interval time.Duration,
) bool {
	index, known := t.findCounter(reporter)
	if !known {
		return true
	}
	c := &t.counters[index]
	if entry.Echo.Keeper == self && at-c.answeredAt < interval {
		return false
	}
	c.answeredAt = at
	c.sentBase = t.account() - c.charged
	return true
}

// ApplyUpdate applies a keeper's update. An account that became active after the
// last report known to the keeper retains its provisional lift.
func (l *Ledger) ApplyUpdate(u Update) {
	l.synced = true
	l.virtualTime = max(l.virtualTime, u.VirtualTime)
	for _, team := range u.Teams {
		a, ok := l.accounts[team.Team]
		if ok && team.Seq >= a.activatedSeq {
			a.base = team.Base
		}
	}
}
