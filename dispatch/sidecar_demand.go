package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// teamDemand is the work of one team at all routers.
type teamDemand struct {
	team fleet.TeamID
	hash uint64
	// open holds the routers' demands that can be granted.
	open []*demand
	// known counts the routers' demands, open or not.
	known int
	// position is the index in Sidecar.open; meaningless while open is empty.
	position int
}

// demand is the work of one team at one router.
type demand struct {
	router *routerPeer
	team   *teamDemand
	seq    uint64
	// waiting counts the requests that the router told of, less those that
	// arrived since.
	waiting int
	// outstanding counts the grants that are not answered yet.
	outstanding int
	// oldest is since when the oldest request that is not granted waits, as far
	// as is known.
	oldest   time.Time
	received time.Time
	isOpen   bool
	expiry   timer[sidecarTimer]
}

// grantable tells whether a slot can be offered for this demand.
func (d *demand) grantable() bool {
	return d.waiting > d.outstanding && !d.router.lapsed
}

// demandReceived replaces what the router told before.
func (s *Sidecar) demandReceived(ev DemandReceived) {
	peer, ok := s.routers[ev.Router]
	if !ok {
		return
	}
	s.heardFrom(peer)
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
	s.updateOpen(d)
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
	team.known++
	d := &demand{router: peer, team: team}
	d.expiry.owner = d
	peer.demands[id] = d
	return d
}

// onTimer forgets demand that was not refreshed. Its Seq is kept until no grant
// for it is outstanding.
func (d *demand) onTimer(s *Sidecar) {
	if d.outstanding > 0 {
		d.waiting = 0
		s.updateOpen(d)
		s.timers.set(&d.expiry, s.now.Add(s.demandRetention()))
		return
	}
	s.dropDemand(d)
}

func (s *Sidecar) dropDemand(d *demand) {
	d.waiting = 0
	s.updateOpen(d)
	s.timers.stop(&d.expiry)
	delete(d.router.demands, d.team.team)
	d.team.known--
	if d.team.known == 0 {
		delete(s.teams, d.team.team)
	}
}

// updateOpen keeps the lists of what can be granted in step with a demand.
func (s *Sidecar) updateOpen(d *demand) {
	open := d.grantable()
	if open == d.isOpen {
		return
	}
	d.isOpen = open
	team := d.team
	if open {
		team.open = append(team.open, d)
		if len(team.open) == 1 {
			team.position = len(s.open)
			s.open = append(s.open, team)
			s.emit(TeamWaiting{Team: team.team, Waiting: true})
		}
		return
	}
	at := slices.Index(team.open, d)
	team.open = slices.Delete(team.open, at, at+1)
	if len(team.open) == 0 {
		s.removeOpenTeam(team)
	}
}

// Waiting reports whether requests of a team wait that can be granted.
func (s *Sidecar) Waiting(team fleet.TeamID) bool {
	t, ok := s.teams[team]
	return ok && len(t.open) > 0
}

func (s *Sidecar) removeOpenTeam(team *teamDemand) {
	s.emit(TeamWaiting{Team: team.team, Waiting: false})
	last := len(s.open) - 1
	moved := s.open[last]
	s.open[team.position] = moved
	moved.position = team.position
	s.open[last] = nil
	s.open = s.open[:last]
}

// nextTeam returns the open team with the least account; ties go by hash and
// id, so that the order of the list does not matter.
func (s *Sidecar) nextTeam() *teamDemand {
	var best *teamDemand
	var least float64
	for _, team := range s.open {
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

// remoteAgeDivisor is how many times longer a request of another region waits
// before it goes ahead of one of the same team of the own region.
const remoteAgeDivisor = 3

// nextDemand returns the open demand whose oldest request waits longest; ties
// go to the router that was granted least recently.
func (t *teamDemand) nextDemand(now time.Time) *demand {
	best := t.open[0]
	for _, d := range t.open[1:] {
		if d.before(best, now) {
			best = d
		}
	}
	return best
}

func (d *demand) before(other *demand, now time.Time) bool {
	age, otherAge := d.rankedAge(now), other.rankedAge(now)
	if age != otherAge {
		return age > otherAge
	}
	if d.router.lastGrant != other.router.lastGrant {
		return d.router.lastGrant < other.router.lastGrant
	}
	return d.router.id < other.router.id
}

// rankedAge is the age of the demand's oldest request; a part of it for a router
// of another region, as traffic between regions is slow and paid by volume.
func (d *demand) rankedAge(now time.Time) time.Duration {
	age := now.Sub(d.oldest)
	if d.router.remote {
		return age / remoteAgeDivisor
	}
	return age
}

// headGranted moves oldest on to the next request: the router tells only the
// age of its head, so the arrivals are taken as evenly spaced.
func (d *demand) headGranted() {
	left := d.waiting - d.outstanding
	if left <= 0 || !d.oldest.Before(d.received) {
		return
	}
	d.oldest = d.oldest.Add(d.received.Sub(d.oldest) / time.Duration(left))
}
