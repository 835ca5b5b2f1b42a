package admission

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Account names the requests of a team whose usage is counted together.
type Account struct {
	Team fleet.TeamID
	// Regions lists the home regions of the requests, see fleet.RegionSet.String. It is
	// empty for requests without home regions.
	Regions string
}

// accountOf returns the account in which the usage of a request is counted. The accounts
// of a team are kept apart because a request with home regions cannot use the capacity of
// other regions.
func accountOf(r Request) Account {
	if r.Regions.All() {
		return Account{Team: r.Team}
	}
	return Account{Team: r.Team, Regions: r.Regions.String()}
}

// hasHomeRegions reports whether any account is one of requests with home regions.
func (u Usage) hasHomeRegions() bool {
	for account := range u {
		if account.Regions != "" {
			return true
		}
	}
	return false
}

// byTeam returns the usage of each team over all its accounts, as accounts without home
// regions.
func (u Usage) byTeam() Usage {
	if !u.hasHomeRegions() {
		return u
	}
	teams := make(Usage, len(u))
	for account, usage := range u {
		teams.add(Usage{{Team: account.Team}: usage})
	}
	return teams
}

// byRegions returns the usage of each team separately for each set of home regions.
func (u Usage) byRegions() map[string]Usage {
	sets := make(map[string]Usage)
	for account, usage := range u {
		if sets[account.Regions] == nil {
			sets[account.Regions] = make(Usage)
		}
		sets[account.Regions][Account{Team: account.Team}] = usage
	}
	return sets
}

// teamShares is the usage of teams and their max-min fair share. The accounts of teams
// have no regions.
type teamShares struct {
	teams     Usage
	maxMin    float64
	contended bool
}

func newTeamShares(teams Usage) teamShares {
	shares := teamShares{teams: teams}
	shares.maxMin, shares.contended = teams.maxMinShare()
	return shares
}

// ratio returns the tokens served to a team relative to the share. It is zero without
// contention.
func (t teamShares) ratio(team fleet.TeamID) float64 {
	if !t.contended || t.maxMin <= 0 {
		return 0
	}
	return t.teams[Account{Team: team}].Served / t.maxMin
}

// shareSnapshot is the teams' usage over all routers at one point in time.
type shareSnapshot struct {
	at  time.Time
	all teamShares
	// byRegions holds the shares among the requests with the same home regions. It is
	// nil if no request has home regions.
	byRegions map[string]teamShares
}

func newShareSnapshot(now time.Time, accounts Usage) shareSnapshot {
	if !accounts.hasHomeRegions() {
		return shareSnapshot{at: now, all: newTeamShares(accounts)}
	}
	snapshot := shareSnapshot{at: now, all: newTeamShares(accounts.byTeam()), byRegions: make(map[string]teamShares)}
	for regions, teams := range accounts.byRegions() {
		snapshot.byRegions[regions] = newTeamShares(teams)
	}
	return snapshot
}

// ratio returns the share ratio for a request: the lower one of that among all requests
// and that among the requests with the same home regions. Demand that only the home
// regions can serve thus does not count against requests that use other capacity, and a
// team with little load keeps its low ratio where few teams have its home regions. The
// load scenario is one of home requests at three times the capacity of their region.
func (s shareSnapshot) ratio(r Request) float64 {
	ratio := s.all.ratio(r.Team)
	if s.byRegions == nil {
		return ratio
	}
	return min(ratio, s.byRegions[accountOf(r).Regions].ratio(r.Team))
}
