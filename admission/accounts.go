package admission

import (
	"strings"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// regionSeparator separates the team from the home regions in the name of an account. It
// is a control character that names of teams do not contain.
const regionSeparator = "\x1f"

// accountOf returns the name under which the usage of a request is counted: its team,
// followed by its home regions if it has any. The accounts are kept apart because a
// request with home regions cannot use the capacity of other regions.
func accountOf(r Request) fleet.TeamID {
	if r.Regions.All() {
		return r.Team
	}
	return r.Team + regionSeparator + fleet.TeamID(r.Regions.String())
}

// splitAccount returns the team and the home regions of an account. The regions are empty
// for requests without home regions.
func splitAccount(account fleet.TeamID) (fleet.TeamID, string) {
	team, regions, _ := strings.Cut(string(account), regionSeparator)
	return fleet.TeamID(team), regions
}

// hasHomeRegions reports whether any account is one of requests with home regions.
func (u Usage) hasHomeRegions() bool {
	for account := range u {
		if _, regions := splitAccount(account); regions != "" {
			return true
		}
	}
	return false
}

// byTeam returns the usage of each team over all its accounts.
func (u Usage) byTeam() Usage {
	if !u.hasHomeRegions() {
		return u
	}
	teams := make(Usage, len(u))
	for account, usage := range u {
		team, _ := splitAccount(account)
		teams.add(Usage{team: usage})
	}
	return teams
}

// byRegions returns the usage of each team separately for each set of home regions.
func (u Usage) byRegions() map[string]Usage {
	sets := make(map[string]Usage)
	for account, usage := range u {
		team, regions := splitAccount(account)
		if sets[regions] == nil {
			sets[regions] = make(Usage)
		}
		sets[regions][team] = usage
	}
	return sets
}

// teamShares is the usage of teams and their max-min fair share.
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
	return t.teams[team].Served / t.maxMin
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
	_, regions := splitAccount(accountOf(r))
	return min(ratio, s.byRegions[regions].ratio(r.Team))
}
