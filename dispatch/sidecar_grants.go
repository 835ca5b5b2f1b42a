package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxGrantBackoff bounds the factor by which the expiry of grants is extended for a
// router that left grants unanswered.
const maxGrantBackoff = 8

// roundTripDivisor divides the difference between a new sample and the moving average
// of the round trip before it is added to the average.
const roundTripDivisor = 8

// grant is a slot offered to a router.
type grant struct {
	id     uint64
	demand *demand
	// seq is the demand's seq at the time the grant was sent.
	seq    uint64
	expiry timer[sidecarTimer]
}

// grantFreeCapacity sends grants for all free capacity while there is demand.
func (s *Sidecar) grantFreeCapacity() {
	if !s.accepting || s.soloPending() {
		return
	}
	for s.committed() < s.slots+s.stagingDepth() {
		team := s.nextTeam()
		if team == nil {
			return
		}
		s.sendGrant(team.nextDemand(s.now))
	}
}

// stagingDepth returns how many requests to commit beyond the slots to hide the
// round trip of a grant: those that complete within it. Below minStagingFraction of
// the slots nothing is staged, because a staged request of a team that is due a
// slot would wait longer than the round trip that staging hides.
func (s *Sidecar) stagingDepth() int {
	if s.cfg.StagingDisabled || s.roundTrip <= 0 {
		return 0
	}
	perSecond, known := s.completions.perSecond(s.now)
	if !known {
		return 0
	}
	completing := perSecond * s.roundTrip.Seconds()
	if completing < minStagingFraction*float64(s.slots) {
		return 0
	}
	return min(int(math.Ceil(completing)), s.slots)
}

// minStagingFraction is the minimum of completions per round trip, as a fraction of
// the slots, at which requests are staged.
const minStagingFraction = 0.025

func (s *Sidecar) sendGrant(d *demand) {
	s.lastGrantID++
	g := &grant{id: s.lastGrantID, demand: d, seq: d.seq}
	g.expiry.owner = g
	s.grants[g.id] = g
	expires := s.grantExpiry(d.router)
	s.timers.set(&g.expiry, s.now.Add(expires))
	s.accounts.Reserve(d.team.team)
	d.advanceOldest()
	d.outstanding++
	d.router.lastGrant = g.id
	s.sampleRoundTrip(d.router.rtt)
	s.updateGrantable(d)
	s.emit(SendGrant{Router: d.router.id, GrantID: g.id, Team: d.team.team, Expires: expires})
}

func (s *Sidecar) grantExpiry(peer *routerPeer) time.Duration {
	expires := max(time.Duration(s.cfg.GrantExpiryRTTs)*peer.rtt, s.cfg.GrantExpiryFloor)
	return expires * time.Duration(peer.backoff)
}

// sampleRoundTrip adds a sample to the average round trip of grants.
func (s *Sidecar) sampleRoundTrip(rtt time.Duration) {
	if rtt <= 0 {
		return
	}
	if s.roundTrip == 0 {
		s.roundTrip = rtt
		return
	}
	s.roundTrip += (rtt - s.roundTrip) / roundTripDivisor
}

// releaseGrant frees a grant's slot and its reserved charge.
func (s *Sidecar) releaseGrant(g *grant) {
	delete(s.grants, g.id)
	s.timers.stop(&g.expiry)
	s.accounts.Release(g.demand.team.team)
	g.demand.outstanding--
	s.updateGrantable(g.demand)
}

// onTimer frees the slot of an expired grant and marks its router unresponsive.
func (g *grant) onTimer(s *Sidecar) {
	s.releaseGrant(g)
	peer := g.demand.router
	peer.backoff = min(2*peer.backoff, maxGrantBackoff)
	s.setUnresponsive(peer, true)
}

// grantDeclined frees the slot. The decline withdraws the demand unless demand with
// a higher Seq was received since.
func (s *Sidecar) grantDeclined(ev GrantDeclined) {
	peer, ok := s.routers[ev.Router]
	if !ok {
		return
	}
	s.markResponsive(peer)
	if g, found := s.grants[ev.GrantID]; found && g.demand.router == peer {
		peer.backoff = 1
		s.releaseGrant(g)
	}
	d, known := peer.demands[ev.Team]
	if !known || ev.Seq < d.seq {
		return
	}
	d.seq = ev.Seq
	d.waiting = 0
	s.updateGrantable(d)
}

// consumeGrant marks a router's grant as used; false if it is not outstanding.
func (s *Sidecar) consumeGrant(peer *routerPeer, id uint64) bool {
	g, found := s.grants[id]
	if !found || g.demand.router != peer {
		return false
	}
	peer.backoff = 1
	d := g.demand
	if d.seq == g.seq {
		// Demand received after the grant was sent does not count this request.
		d.waiting = max(d.waiting-1, 0)
	}
	s.releaseGrant(g)
	return true
}

// setAccepting starts granting, or stops it, releases all grants and rejects the
// staged requests.
func (s *Sidecar) setAccepting(accepting bool) {
	s.accepting = accepting
	if accepting {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.grants)) {
		s.releaseGrant(s.grants[id])
	}
	for _, staged := range s.staged {
		s.emit(RejectRequest{RequestID: staged.id, Reason: ReasonNotAccepting})
	}
	s.staged = nil
}
