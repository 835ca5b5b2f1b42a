package warmup

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Fleet is an immutable list of the routers from which senders are chosen, as one router
// knows it. The zero value and nil choose no sender.
type Fleet struct {
	self fleet.NodeID
	// routers holds all routers in no particular order, and byRegion those of each
	// region.
	routers  []router
	byRegion map[fleet.RegionID][]router
	// knownAt is when this router first received the list of registered routers, and
	// sendsFrom is when it starts to send; both are zero before that.
	knownAt   time.Time
	sendsFrom time.Time
}

type router struct {
	id   fleet.NodeID
	hash uint64
}

// Size returns the number of routers.
func (f *Fleet) Size() int {
	if f == nil {
		return 0
	}
	return len(f.routers)
}

// isSender reports whether this router is one of the senders of an upstream in a region.
func (f *Fleet) isSender(upstream fleet.UpstreamID, region fleet.RegionID, senders int) bool {
	return f.isSenderAmong(f.candidates(region, 1), upstream, senders)
}

// candidates returns the routers of a region, or all if there are fewer than a number of
// them.
func (f *Fleet) candidates(region fleet.RegionID, atLeast int) []router {
	if f == nil {
		return nil
	}
	if candidates := f.byRegion[region]; region != "" && len(candidates) >= atLeast {
		return candidates
	}
	return f.routers
}

// isSenderAmong reports whether this router is one of the senders of an upstream that are
// chosen from candidates.
func (f *Fleet) isSenderAmong(candidates []router, upstream fleet.UpstreamID, senders int) bool {
	if f == nil || f.knownAt.IsZero() {
		return false
	}
	key := xxhash.Sum64String(string(upstream))
	own := router{id: f.self, hash: xxhash.Sum64String(string(f.self))}
	preceding := 0
	listed := false
	for _, r := range candidates {
		if r.id == f.self {
			listed = true
			continue
		}
		if precedes(key, r, own) {
			preceding++
		}
	}
	return listed && preceding < senders
}

// precedes reports whether router a precedes router b in the rendezvous order of an
// upstream.
func precedes(upstream uint64, a, b router) bool {
	scoreA, scoreB := score(upstream, a.hash), score(upstream, b.hash)
	if scoreA != scoreB {
		return scoreA > scoreB
	}
	return a.id < b.id
}

func score(upstream, router uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], upstream)
	binary.LittleEndian.PutUint64(pair[8:], router)
	return xxhash.Sum64(pair[:])
}

// firstSlot returns the earliest time at which this router may send to a cold upstream. An
// earlier process of the same router may have sent until just before the list of routers
// became known, so at least one interval has to pass.
func (f *Fleet) firstSlot(interval time.Duration) time.Time {
	if f == nil {
		return time.Time{}
	}
	first := f.knownAt.Add(interval)
	if f.sendsFrom.After(first) {
		return f.sendsFrom
	}
	return first
}
