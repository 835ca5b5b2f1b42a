package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// teamDemand is the demand of one team at all routers.
type teamDemand struct {
	team fleet.TeamID
	hash uint64
	// grantableDemands holds the demands of routers that can be sent grants.
	grantableDemands []*demand
	// demandCount counts the demands of all routers, grantable or not.
	demandCount int
	// position is the index in Sidecar.grantableTeams, valid unless grantableDemands
	// is empty.
	position int
}

// demand is the demand of one team at one router.
type demand struct {
	router *routerPeer
	team   *teamDemand
	seq    uint64
	// waiting is the announced number of waiting requests, less those that have
	// arrived since.
	waiting int
	// outstanding counts the grants that the router has not used or declined yet.
	outstanding int
	// oldest is the estimated arrival time of the oldest request without a grant.
	oldest          time.Time
	received        time.Time
	listedGrantable bool
	expiry          timer[sidecarTimer]
}

// grantable reports whether a grant can be sent for this demand.
func (d *demand) grantable() bool {
	return d.waiting > d.outstanding && !d.router.unresponsive
}

// demandReceived replaces the router's earlier demand for the team.
func (s *Sidecar) demandReceived(ev DemandReceived) {
	peer, ok := s.routers[ev.Router]
	if !ok {
		return
	}
	s.markResponsive(peer)
	d, known := peer.demands[ev.Team]
	if !known {
		if ev.Waiting <= 0 {
			return
		}
		d = s.addDemand(peer, ev.Team)
	}
	if ev.Seq <= d.seq {
		return
	}
	d.seq = ev.Seq
	d.waiting = max(ev.Waiting, 0)
	d.oldest = s.now.Add(-ev.OldestAge)
	d.received = s.now
	s.timers.set(&d.expiry, s.now.Add(s.demandRetention()))
	s.updateGrantable(d)
}

func (s *Sidecar) demandRetention() time.Duration {
	return demandRetentionRefreshes * s.cfg.RefreshInterval
}

func (s *Sidecar) addDemand(peer *routerPeer, id fleet.TeamID) *demand {
	team, ok := s.teams[id]
	if !ok {
		team = &teamDemand{team: id, hash: xxhash.Sum64String(string(id))}
		s.teams[id] = team
	}
	team.demandCount++
	d := &demand{router: peer, team: team}
	d.expiry.owner = d
	peer.demands[id] = d
	return d
}

// onTimer expires demand that was not refreshed. Its Seq is kept while a grant for
// it is outstanding.
func (d *demand) onTimer(s *Sidecar) {
	if d.outstanding > 0 {
		d.waiting = 0
		s.updateGrantable(d)
		s.timers.set(&d.expiry, s.now.Add(s.demandRetention()))
		return
	}
	s.dropDemand(d)
}

func (s *Sidecar) dropDemand(d *demand) {
	d.waiting = 0
	s.updateGrantable(d)
	s.timers.stop(&d.expiry)
	delete(d.router.demands, d.team.team)
	d.team.demandCount--
	if d.team.demandCount == 0 {
		delete(s.teams, d.team.team)
	}
}

// updateGrantable updates the lists of grantable demands and teams after a change
// to a demand.
func (s *Sidecar) updateGrantable(d *demand) {
	grantable := d.grantable()
	if grantable == d.listedGrantable {
		return
	}
	d.listedGrantable = grantable
	team := d.team
	if grantable {
		team.grantableDemands = append(team.grantableDemands, d)
		if len(team.grantableDemands) == 1 {
			team.position = len(s.grantableTeams)
			s.grantableTeams = append(s.grantableTeams, team)
			s.emit(TeamWaiting{Team: team.team, Waiting: true})
		}
		return
	}
	at := slices.Index(team.grantableDemands, d)
	team.grantableDemands = slices.Delete(team.grantableDemands, at, at+1)
	if len(team.grantableDemands) == 0 {
		s.removeGrantableTeam(team)
	}
}

// Waiting reports whether a team has waiting requests that can be granted.
func (s *Sidecar) Waiting(team fleet.TeamID) bool {
	t, ok := s.teams[team]
	return ok && len(t.grantableDemands) > 0
}

func (s *Sidecar) removeGrantableTeam(team *teamDemand) {
	s.emit(TeamWaiting{Team: team.team, Waiting: false})
	last := len(s.grantableTeams) - 1
	moved := s.grantableTeams[last]
	s.grantableTeams[team.position] = moved
	moved.position = team.position
	s.grantableTeams[last] = nil
	s.grantableTeams = s.grantableTeams[:last]
}

// nextTeam returns the grantable team with the lowest account. Ties are broken by
// hash and ID, so that the result does not depend on the order of the list.
func (s *Sidecar) nextTeam() *teamDemand {
	var best *teamDemand
	var least float64
	for _, team := range s.grantableTeams {
		account := s.accounts.Account(team.team)
		if best == nil || account < least || (account == least && team.before(best)) {
			best = team
			least = account
		}
	}
	return best
}

func (t *teamDemand) before(other *teamDemand) bool {
	if t.hash != other.hash {
		return t.hash < other.hash
	}
	return t.team < other.team
}

// remoteAgeDivisor is how many times longer a request in another region must have
// waited to precede one of the same team in the sidecar's region.
const remoteAgeDivisor = 3

// nextDemand returns the grantable demand whose oldest request has the highest
// priority age; ties go to the router that was granted least recently.
func (t *teamDemand) nextDemand(now time.Time) *demand {
	best := t.grantableDemands[0]
	for _, d := range t.grantableDemands[1:] {
		if d.before(best, now) {
			best = d
		}
	}
	return best
}

func (d *demand) before(other *demand, now time.Time) bool {
	age, otherAge := d.priorityAge(now), other.priorityAge(now)
	if age != otherAge {
		return age > otherAge
	}
	if d.router.lastGrant != other.router.lastGrant {
		return d.router.lastGrant < other.router.lastGrant
	}
	return d.router.id < other.router.id
}

// priorityAge is the age of the demand's oldest request, divided for a router in
// another region, as traffic between regions is slow and billed by volume.
func (d *demand) priorityAge(now time.Time) time.Duration {
	age := now.Sub(d.oldest)
	if d.router.remote {
		return age / remoteAgeDivisor
	}
	return age
}

// advanceOldest sets oldest to the estimated arrival of the next request. Routers
// announce only the age of the first one, so arrivals are assumed evenly spaced.
func (d *demand) advanceOldest() {
	left := d.waiting - d.outstanding
	if left <= 0 || !d.oldest.Before(d.received) {
		return
	}
	d.oldest = d.oldest.Add(d.received.Sub(d.oldest) / time.Duration(left))
}
