package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"
)

// maxGrantBackoff bounds how far the expiry of grants to a router that let some
// lapse is stretched.
const maxGrantBackoff = 8

// roundTripWeight is the weight of a new sample in the average round trip.
const roundTripWeight = 8

// grant is a slot offered to a router.
type grant struct {
	id     uint64
	demand *demand
	// seq is the demand's when the grant was sent.
	seq    uint64
	expiry timer[sidecarTimer]
}

// grantFreeCapacity offers all free capacity to known demand.
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

// stagingDepth returns how much work beyond the slots hides the round trip of a
// grant: what completes within it. Where that is less than minStagingFraction of the
// slots nothing is staged: a staged request of a team that is owed a slot waits
// longer than the round trip that it hides.
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

// minStagingFraction is the least part of the slots, as completions within a round
// trip, for which work is staged.
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
	s.roundTrip += (rtt - s.roundTrip) / roundTripWeight
}

// releaseGrant frees the slot of a grant and the reserved charge.
func (s *Sidecar) releaseGrant(g *grant) {
	delete(s.grants, g.id)
	s.timers.stop(&g.expiry)
	s.accounts.Release(g.demand.team.team)
	g.demand.outstanding--
	s.updateGrantable(g.demand)
}

// onTimer frees the slot of a grant that lapsed and passes its router over.
func (g *grant) onTimer(s *Sidecar) {
	s.releaseGrant(g)
	peer := g.demand.router
	peer.backoff = min(2*peer.backoff, maxGrantBackoff)
	s.setUnresponsive(peer, true)
}

// grantDeclined frees the slot at once. The decline's Seq withdraws the demand
// unless the router told of newer work since.
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

// consumeGrant uses a router's grant up; false if it is not outstanding.
func (s *Sidecar) consumeGrant(peer *routerPeer, id uint64) bool {
	g, found := s.grants[id]
	if !found || g.demand.router != peer {
		return false
	}
	peer.backoff = 1
	d := g.demand
	if d.seq == g.seq {
		// Later demand tells the count without this request already.
		d.waiting = max(d.waiting-1, 0)
	}
	s.releaseGrant(g)
	return true
}

// setAccepting starts granting, or stops it and gives back all that does not
// run yet.
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
