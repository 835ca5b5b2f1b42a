package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// scope is the range of distances within which a queue may be announced. In
// scopeInitial it is announced only to the first targets of each request.
type scope int

const (
	scopeInitial scope = iota
	scopeFailureDomain
	scopeRegion
	scopeFleet
)

// covers reports whether sidecars at a distance belong to the scope.
func (s scope) covers(d fleet.Distance) bool { return s >= scope(d)+scopeFailureDomain }

// affinityLoadFactor is the maximum load, relative to the mean, at which a sidecar
// is preferred for its affinity.
const affinityLoadFactor = 1.25

// rotationDivisor sets the part of MaxFanout that a rotation replaces: one in
// rotationDivisor.
const rotationDivisor = 4

// firstTargets returns the best sidecars with a free slot that the queue is not
// announced to, ordered by distance. At equal distance a request with a key prefers
// sidecars that are not overloaded, by affinity; one without a key prefers those
// with more free slots.
func (r *Router) firstTargets(q *teamQueue, p *pendingRequest) []*sidecarPeer {
	found := r.candidates[:0]
	usedSlots, allSlots := 0, 0
	for _, sc := range q.service.sidecars {
		if !sc.accepting || sc.distance == fleet.OtherRegion {
			continue
		}
		usedSlots += sc.slots - sc.free
		allSlots += sc.slots
		if sc.free > 0 && !p.excludes(sc.id) && q.announcementTo(sc) == nil {
			found = append(found, sc)
		}
	}
	r.candidates = found
	mean := float64(usedSlots+1) / float64(max(allSlots, 1))
	slices.SortFunc(found, func(a, b *sidecarPeer) int {
		if c := cmp.Compare(a.distance, b.distance); c != 0 {
			return c
		}
		if p.AffinityKey != 0 {
			return compareAffinity(a, b, p.AffinityKey, mean)
		}
		return compareFree(a, b, q.hash)
	})
	return found[:min(len(found), r.cfg.FirstTargets)]
}

// compareAffinity orders by bounded-load rendezvous hashing.
func compareAffinity(a, b *sidecarPeer, key uint64, mean float64) int {
	overA, overB := a.overloaded(mean), b.overloaded(mean)
	if overA != overB {
		if overA {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(mixHashes(key, b.hash), mixHashes(key, a.hash)); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

func compareFree(a, b *sidecarPeer, seed uint64) int {
	if c := cmp.Compare(b.free, a.free); c != 0 {
		return c
	}
	return compareHash(a, b, seed)
}

func compareHash(a, b *sidecarPeer, seed uint64) int {
	if c := cmp.Compare(mixHashes(seed, a.hash), mixHashes(seed, b.hash)); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// overloaded reports whether one more request would exceed the sidecar's load
// bound.
func (sc *sidecarPeer) overloaded(mean float64) bool {
	used := float64(sc.slots - sc.free)
	return used+1 > math.Ceil(affinityLoadFactor*mean*float64(sc.slots))
}

// mixHashes combines two hashes by the finalizer of splitmix64.
func mixHashes(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// widenScope doubles the number of sidecars that the queue is announced to, adding
// at least twice FirstTargets, nearest first. It moves on to the next scope when the
// current one has none left.
func (r *Router) widenScope(q *teamQueue) {
	step := max(len(q.announcements), 2*r.cfg.FirstTargets)
	for r.announceToNearest(q, step) == 0 {
		if q.scope == scopeFleet || (q.scope == scopeRegion && !r.spillDue(q)) {
			return
		}
		q.scope++
	}
}

// spillAt returns when the queue may be announced to other regions; false if never.
func spillAt(q *teamQueue) (time.Time, bool) {
	if q.head == nil || q.head.SpillAfter < 0 {
		return time.Time{}, false
	}
	return q.head.Arrived.Add(q.head.SpillAfter), true
}

func (r *Router) spillDue(q *teamQueue) bool {
	at, ok := spillAt(q)
	return ok && !at.After(r.now)
}

// unannouncedSidecars returns the eligible sidecars of the queue.
func (r *Router) unannouncedSidecars(q *teamQueue) []*sidecarPeer {
	found := r.candidates[:0]
	for _, sc := range q.service.sidecars {
		if r.eligible(q, sc) {
			found = append(found, sc)
		}
	}
	r.candidates = found
	return found
}

// eligible reports whether the queue can be announced to the sidecar and is not
// yet.
func (r *Router) eligible(q *teamQueue, sc *sidecarPeer) bool {
	return sc.accepting && q.scope.covers(sc.distance) && q.waitingFor(sc.id) > 0 && q.announcementTo(sc) == nil
}

// announceToNearest announces the queue to the nearest eligible sidecars, up to
// limit and MaxFanout, and returns their number.
func (r *Router) announceToNearest(q *teamQueue, limit int) int {
	q.moreInScope = false
	room := min(r.cfg.MaxFanout-len(q.announcements), limit)
	if room <= 0 {
		return 0
	}
	found := r.unannouncedSidecars(q)
	slices.SortFunc(found, func(a, b *sidecarPeer) int {
		if c := cmp.Compare(a.distance, b.distance); c != 0 {
			return c
		}
		return compareHash(a, b, q.hash)
	})
	q.moreInScope = len(found) > room
	found = found[:min(len(found), room)]
	for _, sc := range found {
		r.announce(q, sc)
	}
	return len(found)
}

// rotateAnnouncements replaces, once MaxFanout is reached, some of the sidecars that
// have sent no grant since the last rotation, so that all sidecars of a large fleet
// are covered over time.
func (r *Router) rotateAnnouncements(q *teamQueue) {
	defer func() {
		for _, a := range q.announcements {
			a.granted = false
		}
	}()
	if len(q.announcements) < r.cfg.MaxFanout {
		return
	}
	found := r.unannouncedSidecars(q)
	if len(found) == 0 {
		return
	}
	replace := min(len(found), max(r.cfg.MaxFanout/rotationDivisor, 1))
	replace = r.withdrawIdle(q, replace)
	first := q.rotationStart(found)
	for i := range replace {
		sc := found[(first+i)%len(found)]
		q.rotationCursor = sc.id
		r.announce(q, sc)
	}
}

// rotationStart returns the index of the sidecar at which the rotation resumes: the
// first from rotationCursor on, by ID. The first rotation starts at a position that
// depends on the router and the team.
func (q *teamQueue) rotationStart(found []*sidecarPeer) int {
	if q.rotationCursor == "" {
		return int(q.hash % uint64(len(found)))
	}
	next, _ := slices.BinarySearchFunc(found, q.rotationCursor, comparePeerID)
	return next
}

// withdrawIdle withdraws the demand from at most n sidecars that sent no grant since
// the last rotation, the longest announced first, and returns their number.
func (r *Router) withdrawIdle(q *teamQueue, n int) int {
	kept := q.announcements[:0]
	dropped := 0
	for _, a := range q.announcements {
		if dropped < n && !a.granted {
			r.withdraw(q, a)
			dropped++
			continue
		}
		kept = append(kept, a)
	}
	clear(q.announcements[len(kept):])
	q.announcements = kept
	return dropped
}

// narrowScope withdraws the demand from other regions when the oldest request has
// not waited for its SpillAfter.
func (r *Router) narrowScope(q *teamQueue) {
	if q.scope < scopeFleet || r.spillDue(q) {
		return
	}
	q.scope = scopeRegion
	q.announcements = slices.DeleteFunc(q.announcements, func(a *announcement) bool {
		far := a.sidecar.distance == fleet.OtherRegion
		if far {
			r.withdraw(q, a)
		}
		return far
	})
}
