package dispatch

import (
	"slices"
	"time"
)

// announcement is what one sidecar was announcement of a queue.
type announcement struct {
	sidecar *sidecarPeer
	// waiting is the count that the sidecar holds, less the requests that were
	// bound to its grants since.
	waiting int
	// granted tells whether it granted since the last rotation.
	granted bool
}

// activate announces a queue that was empty.
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

// deactivate withdraws the demand of a queue that became empty.
func (r *Router) deactivate(q *teamQueue) {
	at := slices.Index(q.service.active, q)
	q.service.active = slices.Delete(q.service.active, at, at+1)
	q.drainRate.stop(r.now)
	for _, t := range q.announcements {
		r.withdraw(q, t)
	}
	q.announcements = nil
	r.timers.set(&q.wakeTimer, r.now.Add(queueRetention))
}

// onTimer probes and refreshes a waiting queue and drops one that stayed empty.
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

// probeIntervalElapsed tells whether the oldest request got no grant for as long as
// the probe interval.
func (r *Router) probeIntervalElapsed(q *teamQueue) bool {
	return r.now.Sub(q.head.Arrived) >= r.cfg.ProbeInterval
}

// scheduleProbe sets when the queue's scope is looked at next; the zero time if
// nothing is left to widen.
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

// announceToFirstTargets tells the best sidecars for an arriving request unless those that
// know of the queue have free slots for all that wait.
func (r *Router) announceToFirstTargets(q *teamQueue, p *pendingRequest) {
	if q.scope != scopeInitial {
		return
	}
	free := 0
	for _, t := range q.announcements {
		free += t.sidecar.free
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

// announce adds a sidecar to those that know of the queue.
func (r *Router) announce(q *teamQueue, sc *sidecarPeer) {
	t := &announcement{sidecar: sc}
	q.announcements = append(q.announcements, t)
	r.sendDemand(q, t)
}

// sendUpdates tells sidecars of a change that matters to them.
func (r *Router) sendUpdates(q *teamQueue) {
	for _, t := range q.announcements {
		if needsUpdate(t.waiting, q.waitingFor(t.sidecar.id), t.sidecar.slots) {
			r.sendDemand(q, t)
		}
	}
}

// updateRatio is the ratio of counts that makes a change matter. A sidecar that
// holds too large a count sends grants that are declined, one that holds too
// small a count asks the others first.
const updateRatio = 4

// needsUpdate tells whether a sidecar that holds one count must learn another:
// between some and none always, else when the count changed by updateRatio within
// twice the sidecar's slots, for beyond them it could not use more at once.
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

// refresh repeats the demand to all that know of the queue.
func (r *Router) refresh(q *teamQueue) {
	q.refreshAt = r.now.Add(r.cfg.RefreshInterval)
	for _, t := range q.announcements {
		if t.waiting > 0 || q.waitingFor(t.sidecar.id) > 0 {
			r.sendDemand(q, t)
		}
	}
}

func (r *Router) sendDemand(q *teamQueue, t *announcement) {
	r.seq++
	t.waiting = q.waitingFor(t.sidecar.id)
	demand := SendDemand{
		Sidecar: t.sidecar.id,
		Team:    q.team,
		Seq:     r.seq,
		Waiting: t.waiting,
	}
	if oldest := q.oldestFor(t.sidecar.id); oldest != nil {
		demand.OldestAge = max(r.now.Sub(oldest.Arrived), 0)
	}
	r.emit(demand)
}

// withdraw tells a sidecar that nothing waits, if it believes otherwise.
func (r *Router) withdraw(q *teamQueue, t *announcement) {
	if t.waiting == 0 {
		return
	}
	r.seq++
	r.emit(SendDemand{Sidecar: t.sidecar.id, Team: q.team, Seq: r.seq})
}

// stopAnnouncingTo drops a sidecar that is gone or takes no work.
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

// announceActiveQueues tells a sidecar that came up or back of every queue that has room for it.
func (r *Router) announceActiveQueues(sc *sidecarPeer) {
	for _, q := range sc.service.active {
		if len(q.announcements) < r.cfg.MaxFanout && r.eligible(q, sc) {
			r.announce(q, sc)
		}
	}
}

// announceForFreeSlots tells a sidecar with free slots of queues that it does not know, until
// it knows of work for all of them.
func (r *Router) announceForFreeSlots(sc *sidecarPeer, free int) {
	for _, q := range sc.service.active {
		if t := q.announcementTo(sc); t != nil {
			free -= t.waiting
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
