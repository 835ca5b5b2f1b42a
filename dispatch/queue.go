package dispatch

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// pendingRequest is one waiting request.
type pendingRequest struct {
	Request
	queue      *teamQueue
	prev, next *pendingRequest
	deadline   timer[routerTimer]
}

// excludes reports whether the sidecar must not run the request.
func (p *pendingRequest) excludes(sidecar fleet.NodeID) bool {
	return slices.Contains(p.Exclude, sidecar)
}

// teamQueue holds the waiting requests of one team for one service, oldest
// first, and the demand announced to sidecars.
//
// Invariant: an empty queue is not in service.active and has no announcements.
type teamQueue struct {
	service    *service
	team       fleet.TeamID
	hash       uint64
	head, tail *pendingRequest
	len        int
	bytes      int64
	// excluded counts the waiting requests that exclude a sidecar.
	excluded  map[fleet.NodeID]int
	drainRate rateEstimator

	scope scope
	// moreInScope reports whether the scope has eligible sidecars without an
	// announcement.
	moreInScope   bool
	announcements []*announcement
	// rotationCursor is the sidecar that a rotation announced the queue to last.
	rotationCursor fleet.NodeID
	refreshAt      time.Time
	probeAt        time.Time
	wakeTimer      timer[routerTimer]
}

// newTeamQueue returns an empty queue of a service.
func newTeamQueue(self fleet.NodeID, s *service, team fleet.TeamID) *teamQueue {
	q := &teamQueue{
		service: s,
		team:    team,
		hash:    xxhash.Sum64String(string(self) + "/" + string(team)),
	}
	q.wakeTimer.owner = q
	return q
}

// pushBack adds a request as the newest.
func (q *teamQueue) pushBack(p *pendingRequest) {
	q.insertAfter(p, q.tail)
}

// pushByArrival inserts a request in order of arrival.
func (q *teamQueue) pushByArrival(p *pendingRequest) {
	var before *pendingRequest
	for after := q.head; after != nil && after.Arrived.Before(p.Arrived); after = after.next {
		before = after
	}
	q.insertAfter(p, before)
}

// insertAfter inserts a request after another, or at the head if that is nil.
func (q *teamQueue) insertAfter(p, before *pendingRequest) {
	p.queue = q
	p.prev = before
	if before == nil {
		p.next = q.head
		q.head = p
	} else {
		p.next = before.next
		before.next = p
	}
	if p.next == nil {
		q.tail = p
	} else {
		p.next.prev = p
	}
	q.len++
	q.bytes += p.Bytes
	q.countExcluded(p, 1)
}

// unlink removes a request.
func (q *teamQueue) unlink(p *pendingRequest) {
	if p.prev == nil {
		q.head = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		q.tail = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next = nil, nil
	q.len--
	q.bytes -= p.Bytes
	q.countExcluded(p, -1)
}

// countExcluded adds delta for each distinct sidecar that the request excludes.
func (q *teamQueue) countExcluded(p *pendingRequest, delta int) {
	for i, id := range p.Exclude {
		if slices.Contains(p.Exclude[:i], id) {
			continue
		}
		if q.excluded == nil {
			q.excluded = map[fleet.NodeID]int{}
		}
		q.excluded[id] += delta
		if q.excluded[id] == 0 {
			delete(q.excluded, id)
		}
	}
}

// waitingFor returns how many requests the sidecar may run.
func (q *teamQueue) waitingFor(sidecar fleet.NodeID) int {
	return q.len - q.excluded[sidecar]
}

// oldestFor returns the oldest request that the sidecar may run, or nil if none.
func (q *teamQueue) oldestFor(sidecar fleet.NodeID) *pendingRequest {
	p := q.head
	for p != nil && p.excludes(sidecar) {
		p = p.next
	}
	return p
}

// announcementTo returns the announcement to the sidecar, or nil.
func (q *teamQueue) announcementTo(sc *sidecarPeer) *announcement {
	for _, a := range q.announcements {
		if a.sidecar == sc {
			return a
		}
	}
	return nil
}

// removeAnnouncement removes the announcement to the sidecar without a message.
func (q *teamQueue) removeAnnouncement(sc *sidecarPeer) {
	q.announcements = slices.DeleteFunc(q.announcements, func(a *announcement) bool { return a.sidecar == sc })
}
