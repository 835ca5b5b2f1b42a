package dispatch

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const (
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 60 * time.Second
	// unknownRetryAfter is returned while a queue's drain rate is unknown.
	unknownRetryAfter = 5 * time.Second
	// maxEvictions limits the requests evicted to admit one.
	maxEvictions = 8
)

// teamUsage counts the resources that a team's waiting requests use at this router.
type teamUsage struct {
	waiting int
	bytes   int64
}

// arrive enqueues or refuses a new request.
func (r *Router) arrive(req Request) {
	if _, known := r.waiting[req.ID]; known {
		return
	}
	if req.Arrived.IsZero() {
		req.Arrived = r.now
	}
	if r.stopping {
		r.emit(Refuse{Request: req.ID, Reason: ReasonStopping, RetryAfter: minRetryAfter})
		return
	}
	q := r.queue(req.Service, req.Team)
	if reason, refused := r.refuseReason(q, req); refused {
		r.refuse(q, req.ID, reason)
		return
	}
	p := r.add(q, req)
	q.pushBack(p)
	if q.len == 1 {
		r.activate(q)
		return
	}
	r.sendUpdates(q)
	r.announceToFirstTargets(q, p)
	if len(q.excluded) > 0 {
		// A sidecar that all earlier requests exclude may be eligible for this one.
		r.announceToNearest(q, r.cfg.MaxFanout)
	}
}

// refuseReason returns why a new request cannot be queued. For a request that
// can, it evicts others where needed.
func (r *Router) refuseReason(q *teamQueue, req Request) (RefuseReason, bool) {
	limits := r.cfg.Limits
	switch {
	case r.expired(req):
		return ReasonDeadline, true
	case limits.TeamWaiting > 0 && q.len >= limits.TeamWaiting:
		return ReasonTeamLimit, true
	case r.waitsTooLong(q, req):
		return ReasonExpectedWait, true
	case !r.makeRoom(req):
		return ReasonRouterLimit, true
	}
	return 0, false
}

// requeue returns a request to its queue, in order of arrival.
func (r *Router) requeue(req Request) {
	if _, known := r.waiting[req.ID]; known {
		return
	}
	if req.Arrived.IsZero() {
		req.Arrived = r.now
	}
	q := r.queue(req.Service, req.Team)
	if r.expired(req) {
		r.refuse(q, req.ID, ReasonDeadline)
		return
	}
	q.pushByArrival(r.add(q, req))
	if q.len == 1 {
		r.activate(q)
		return
	}
	r.sendUpdates(q)
}

// cancel removes a request that is still queued.
func (r *Router) cancel(id RequestID) {
	if p, ok := r.waiting[id]; ok {
		r.remove(p)
	}
}

// add registers a request that is about to be queued and starts its deadline
// timer.
func (r *Router) add(q *teamQueue, req Request) *pendingRequest {
	p := &pendingRequest{Request: req, queue: q}
	p.deadline.owner = p
	r.waiting[req.ID] = p
	r.bytes += req.Bytes
	usage, ok := r.teams[req.Team]
	if !ok {
		usage = &teamUsage{}
		r.teams[req.Team] = usage
	}
	usage.waiting++
	usage.bytes += req.Bytes
	if !req.Deadline.IsZero() {
		r.timers.set(&p.deadline, req.Deadline)
	}
	return p
}

// remove takes a request out of its queue and updates the announced demand.
func (r *Router) remove(p *pendingRequest) {
	q := p.queue
	q.unlink(p)
	delete(r.waiting, p.ID)
	r.timers.stop(&p.deadline)
	r.bytes -= p.Bytes
	usage := r.teams[p.Team]
	usage.waiting--
	usage.bytes -= p.Bytes
	if usage.waiting == 0 {
		delete(r.teams, p.Team)
	}
	if q.len == 0 {
		r.deactivate(q)
		return
	}
	r.sendUpdates(q)
}

// onTimer refuses the request because its deadline passed.
func (p *pendingRequest) onTimer(r *Router) {
	q := p.queue
	r.remove(p)
	r.refuse(q, p.ID, ReasonDeadline)
}

func (r *Router) refuse(q *teamQueue, id RequestID, reason RefuseReason) {
	r.emit(Refuse{Request: id, Reason: reason, RetryAfter: r.retryAfter(q)})
}

// retryAfter returns the expected time to drain the queue, within the bounds of
// Retry-After.
func (r *Router) retryAfter(q *teamQueue) time.Duration {
	wait, known := r.expectedWait(q)
	if !known {
		return unknownRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

func (r *Router) expired(req Request) bool {
	return !req.Deadline.IsZero() && !req.Deadline.After(r.now)
}

// waitsTooLong reports whether the expected wait exceeds the time left to the
// deadline.
func (r *Router) waitsTooLong(q *teamQueue, req Request) bool {
	if req.Deadline.IsZero() || q.len == 0 {
		return false
	}
	wait, known := r.expectedWait(q)
	return known && wait > req.Deadline.Sub(r.now)
}

// expectedWait returns the expected time to drain the queue, at most an hour;
// false if the drain rate is unknown.
func (r *Router) expectedWait(q *teamQueue) (time.Duration, bool) {
	perSecond, known := q.drainRate.perSecond(r.now)
	if !known {
		return 0, false
	}
	seconds := float64(q.len) / perSecond
	if !(seconds < time.Hour.Seconds()) {
		return time.Hour, true
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// makeRoom reports whether the router's limits admit the request. At a full
// router it evicts the newest requests of the team with the highest usage,
// provided that the arriving team's usage stays below that.
func (r *Router) makeRoom(req Request) bool {
	limits := r.cfg.Limits
	if limits.RouterBytes > 0 && req.Bytes > limits.RouterBytes {
		return false
	}
	overCount := limits.RouterWaiting > 0 && len(r.waiting)+1 > limits.RouterWaiting
	overBytes := int64(0)
	if limits.RouterBytes > 0 {
		overBytes = max(r.bytes+req.Bytes-limits.RouterBytes, 0)
	}
	if !overCount && overBytes == 0 {
		return true
	}
	measure, needed := waitingRequests, int64(1)
	if overBytes > 0 {
		measure, needed = waitingBytes, req.Bytes
	}
	victims := r.victims(req.Team, measure, needed, overBytes)
	for _, p := range victims {
		q := p.queue
		r.remove(p)
		r.refuse(q, p.ID, ReasonRouterLimit)
	}
	return len(victims) > 0
}

// usageMeasure returns a team's usage of the resource that is at its limit.
type usageMeasure func(*teamUsage) int64

func waitingRequests(u *teamUsage) int64 { return int64(u.waiting) }
func waitingBytes(u *teamUsage) int64    { return u.bytes }

// victims returns the requests to evict to admit one of the team; none if that
// one is to be refused instead.
func (r *Router) victims(team fleet.TeamID, measure usageMeasure, needed, overBytes int64) []*pendingRequest {
	after := needed
	if usage, ok := r.teams[team]; ok {
		after += measure(usage)
	}
	largest := r.largestQueue(measure)
	if largest == nil || largest.team == team || measure(r.teams[largest.team]) <= after {
		return nil
	}
	var victims []*pendingRequest
	freed := int64(0)
	for p := largest.tail; p != nil && len(victims) < maxEvictions; p = p.prev {
		victims = append(victims, p)
		freed += p.Bytes
		if freed >= overBytes {
			return victims
		}
	}
	return nil
}

// largestQueue returns the longest queue of the team with the highest usage.
func (r *Router) largestQueue(measure usageMeasure) *teamQueue {
	var largest *teamQueue
	for _, s := range r.serviceList {
		for _, q := range s.active {
			if largest == nil || r.holdsMore(q, largest, measure) {
				largest = q
			}
		}
	}
	return largest
}

func (r *Router) holdsMore(a, b *teamQueue, measure usageMeasure) bool {
	usageA, usageB := measure(r.teams[a.team]), measure(r.teams[b.team])
	if usageA != usageB {
		return usageA > usageB
	}
	return a.team == b.team && a.len > b.len
}
