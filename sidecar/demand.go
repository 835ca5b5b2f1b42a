package sidecar

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
)

// demandTTL is how long demand counts without a refresh.
const demandTTL = 3 * node.DemandRefreshInterval

// demandTable knows which routers have waiting requests of which team.
type demandTable struct {
	teams map[fleet.TeamID]map[fleet.NodeID]time.Time
}

func newDemandTable() *demandTable {
	return &demandTable{teams: make(map[fleet.TeamID]map[fleet.NodeID]time.Time)}
}

func (t *demandTable) has(team fleet.TeamID) bool {
	return len(t.teams[team]) > 0
}

// empty reports whether no team waits.
func (t *demandTable) empty() bool { return len(t.teams) == 0 }

func (t *demandTable) set(team fleet.TeamID, router fleet.NodeID, waiting bool, now time.Time) {
	if !waiting {
		t.remove(team, router)
		return
	}
	routers := t.teams[team]
	if routers == nil {
		routers = make(map[fleet.NodeID]time.Time)
		t.teams[team] = routers
	}
	routers[router] = now
}

func (t *demandTable) remove(team fleet.TeamID, router fleet.NodeID) {
	routers := t.teams[team]
	delete(routers, router)
	if len(routers) == 0 {
		delete(t.teams, team)
	}
}

// dropRouter removes a router and returns the teams that it had.
func (t *demandTable) dropRouter(router fleet.NodeID) []fleet.TeamID {
	var changed []fleet.TeamID
	for team, routers := range t.teams {
		if _, ok := routers[router]; ok {
			changed = append(changed, team)
			t.remove(team, router)
		}
	}
	return changed
}

// expire removes demand that was not refreshed and returns its teams.
func (t *demandTable) expire(now time.Time) []fleet.TeamID {
	var changed []fleet.TeamID
	for team, routers := range t.teams {
		for router, seen := range routers {
			if now.Sub(seen) > demandTTL {
				changed = append(changed, team)
				t.remove(team, router)
			}
		}
	}
	return changed
}
