package dispatch

import (
	"slices"
	"time"
)

// announcement is the demand of a queue as last announced to one sidecar.
type announcement struct {
	sidecar *sidecarPeer
	// waiting is the last count sent to the sidecar, less the requests bound to
	// its grants since.
	waiting int
	// granted reports whether the sidecar has sent a grant since the last rotation.
	granted bool
}

// activate announces a queue that has received its first request.
func (r *Router) activate(q *teamQueue) {
	q.service.active = append(q.service.active, q)
	q.drainRate.start(r.now)
	q.scope = scopeInitial
	q.refreshAt = r.now.Add(r.cfg.RefreshInterval)
	r.announceToFirstTargets(q, q.head)
	if len(q.announcements) == 0 {
		r.widenScope(q)
	}
	r.scheduleProbe(q)
	r.scheduleWake(q)
}

// deactivate withdraws the demand of a queue that has become empty.
func (r *Router) deactivate(q *teamQueue) {
	at := slices.Index(q.service.active, q)
	q.service.active = slices.Delete(q.service.active, at, at+1)
	q.drainRate.stop(r.now)
	for _, a := range q.announcements {
		r.withdraw(q, a)
	}
	q.announcements = nil
	r.timers.set(&q.wakeTimer, r.now.Add(queueRetention))
}

// onTimer widens and refreshes the demand of a non-empty queue and deletes a queue
// that stayed empty.
func (q *teamQueue) onTimer(r *Router) {
	if q.len == 0 {
		delete(q.service.queues, q.team)
		return
	}
	if !q.probeAt.IsZero() && !q.probeAt.After(r.now) {
		if r.probeIntervalElapsed(q) {
			r.widenScope(q)
		}
		r.scheduleProbe(q)
	}
	if !q.refreshAt.After(r.now) {
		r.narrowScope(q)
		r.rotateAnnouncements(q)
		r.announceToNearest(q, r.cfg.MaxFanout)
		r.refresh(q)
		r.scheduleProbe(q)
	}
	r.scheduleWake(q)
}

// probeIntervalElapsed reports whether the oldest request has waited for at least
// the probe interval.
func (r *Router) probeIntervalElapsed(q *teamQueue) bool {
	return r.now.Sub(q.head.Arrived) >= r.cfg.ProbeInterval
}

// scheduleProbe sets the time of the next attempt to widen the queue's scope; zero
// if it cannot be widened further.
func (r *Router) scheduleProbe(q *teamQueue) {
	q.probeAt = time.Time{}
	switch {
	case (q.moreInScope || q.scope < scopeRegion) && r.probeIntervalElapsed(q):
		q.probeAt = r.now.Add(r.cfg.ProbeInterval)
	case q.moreInScope || q.scope < scopeRegion:
		q.probeAt = q.head.Arrived.Add(r.cfg.ProbeInterval)
	case q.scope == scopeRegion:
		if at, ok := spillAt(q); ok {
			q.probeAt = latest(at, r.now.Add(r.cfg.ProbeInterval))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (r *Router) scheduleWake(q *teamQueue) {
	at := q.refreshAt
	if !q.probeAt.IsZero() && q.probeAt.Before(at) {
		at = q.probeAt
	}
	r.timers.set(&q.wakeTimer, at)
}

// announceToFirstTargets announces the queue to the best sidecars for an arriving
// request, unless the sidecars it is announced to have free slots for all waiting
// requests.
func (r *Router) announceToFirstTargets(q *teamQueue, p *pendingRequest) {
	if q.scope != scopeInitial {
		return
	}
	free := 0
	for _, a := range q.announcements {
		free += a.sidecar.free
	}
	if free >= q.len {
		return
	}
	room := r.cfg.MaxFanout - len(q.announcements)
	targets := r.firstTargets(q, p)
	for _, sc := range targets[:min(len(targets), room)] {
		r.announce(q, sc)
	}
}

// announce announces the queue's demand to another sidecar.
func (r *Router) announce(q *teamQueue, sc *sidecarPeer) {
	a := &announcement{sidecar: sc}
	q.announcements = append(q.announcements, a)
	r.sendDemand(q, a)
}

// sendUpdates sends the demand to the sidecars whose count is too far off.
func (r *Router) sendUpdates(q *teamQueue) {
	for _, a := range q.announcements {
		if needsUpdate(a.waiting, q.waitingFor(a.sidecar.id), a.sidecar.slots) {
			r.sendDemand(q, a)
		}
	}
}

// updateRatio is the ratio between the current and the announced count from which
// an update is sent. With too high a count a sidecar sends grants that are
// declined, with too low a count it grants to other routers first.
const updateRatio = 4

// needsUpdate reports whether a sidecar that holds a count must be sent another:
// always on a change to or from zero, else when the counts differ by updateRatio.
// Both are capped at twice the slots, if known, as the sidecar cannot use more at
// once.
func needsUpdate(held, waiting, slots int) bool {
	if held == 0 || waiting == 0 {
		return held != waiting
	}
	if slots > 0 {
		held = min(held, 2*slots)
		waiting = min(waiting, 2*slots)
	}
	return waiting >= updateRatio*held || updateRatio*waiting <= held
}

// refresh repeats the demand to every sidecar that the queue is announced to.
func (r *Router) refresh(q *teamQueue) {
	q.refreshAt = r.now.Add(r.cfg.RefreshInterval)
	for _, a := range q.announcements {
		if a.waiting > 0 || q.waitingFor(a.sidecar.id) > 0 {
			r.sendDemand(q, a)
		}
	}
}

func (r *Router) sendDemand(q *teamQueue, a *announcement) {
	r.seq++
	a.waiting = q.waitingFor(a.sidecar.id)
	demand := SendDemand{
		Sidecar: a.sidecar.id,
		Team:    q.team,
		Seq:     r.seq,
		Waiting: a.waiting,
	}
	if oldest := q.oldestFor(a.sidecar.id); oldest != nil {
		demand.OldestAge = max(r.now.Sub(oldest.Arrived), 0)
	}
	r.emit(demand)
}

// withdraw announces zero demand to a sidecar unless its count is zero already.
func (r *Router) withdraw(q *teamQueue, a *announcement) {
	if a.waiting == 0 {
		return
	}
	r.seq++
	r.emit(SendDemand{Sidecar: a.sidecar.id, Team: q.team, Seq: r.seq})
}

// stopAnnouncingTo removes the announcements to a sidecar that is disconnected or
// does not accept work. A queue left without announcements is announced to others.
func (r *Router) stopAnnouncingTo(sc *sidecarPeer) {
	for _, q := range sc.service.active {
		q.removeAnnouncement(sc)
		if len(q.announcements) > 0 {
			continue
		}
		r.widenScope(q)
		r.scheduleProbe(q)
		r.scheduleWake(q)
	}
}

// announceActiveQueues announces to a sidecar that has connected or accepts work
// again every queue that is below its maximum fanout.
func (r *Router) announceActiveQueues(sc *sidecarPeer) {
	for _, q := range sc.service.active {
		if len(q.announcements) < r.cfg.MaxFanout && r.eligible(q, sc) {
			r.announce(q, sc)
		}
	}
}

// announceForFreeSlots announces further queues to a sidecar with free slots,
// until the announced demand covers them.
func (r *Router) announceForFreeSlots(sc *sidecarPeer, free int) {
	for _, q := range sc.service.active {
		if a := q.announcementTo(sc); a != nil {
			free -= a.waiting
		}
	}
	for _, q := range sc.service.active {
		if free <= 0 {
			return
		}
		if !r.eligible(q, sc) {
			continue
		}
		if len(q.announcements) >= r.cfg.MaxFanout && r.withdrawIdle(q, 1) == 0 {
			continue
		}
		r.announce(q, sc)
		free -= q.waitingFor(sc.id)
	}
}
