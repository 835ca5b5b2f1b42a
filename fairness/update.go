package fairness

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// TeamUpdate tells a reporter of a team's account without a report of its own.
type TeamUpdate struct {
	Team fleet.TeamID
	// Base is the account without the reporter's own charges, in normalized
	// service.
	Base float64
	// Seq is the last report of the reporter that told of the team.
	Seq uint64
}

// Update carries changed accounts to one reporter.
type Update struct {
	VirtualTime float64
	Teams       []TeamUpdate
}

// ReporterUpdate is an update and where it goes.
type ReporterUpdate struct {
	Reporter fleet.NodeID
	Update   Update
}

// Updates returns the accounts that changed since their reporters were told,
// for the reporters that told of the team within the activity TTL. The accounts
// of sidecars thus lag by the interval of the calls, not by that of their own
// reports: all of them grant to the team with the least account, so that what
// the whole fleet grants within the lag may go to one team.
func (k *Keeper) Updates(now time.Time) []ReporterUpdate {
	at := now.Sub(k.start)
	byReporter := make(map[uint32][]TeamUpdate)
	for _, t := range k.teams {
		account := t.fleetTotal() + t.lift
		for i := range t.counters {
			c := &t.counters[i]
			if c.told == account || at-c.seen > k.cfg.ActivityTTL {
				continue
			}
			c.told = account
			update := TeamUpdate{Team: t.id, Base: account - c.charged, Seq: c.seq}
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

// tell notes that a reporter was answered with the team's present account.
func (t *teamState) tell(reporter uint32) {
	if index, known := t.find(reporter); known {
		t.counters[index].told = t.fleetTotal() + t.lift
	}
}

// Update takes in a keeper's update. An account that became active since the
// report that the keeper knows keeps its provisional lift.
func (l *Ledger) Update(u Update) {
	l.virtualTime = max(l.virtualTime, u.VirtualTime)
	for _, team := range u.Teams {
		a, ok := l.accounts[team.Team]
		if ok && team.Seq >= a.activatedSeq {
			a.base = team.Base
		}
	}
}
