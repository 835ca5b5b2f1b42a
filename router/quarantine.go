package router

import (
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/quarantine"
)

const (
	// propagationTimeout limits the wait until the other routers know of a crash.
	propagationTimeout = time.Second
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = time.Hour
	// refuseAfterCrashes is the number of crashes after which a request is refused.
	refuseAfterCrashes = 2
)

// crash identifies an upstream crash during which a request was running.
type crash struct{ digest, id string }

// suspects is the quarantine list of this router. It also tracks which other
// routers know of each crash.
type suspects struct {
	*node.Suspects
	sessions *node.Sessions
	// saveNeeded is signaled when this router has recorded a crash.
	saveNeeded chan struct{}

	mu sync.Mutex
	// knownBy holds, for each crash, the routers that have reported it.
	knownBy map[crash]map[fleet.NodeID]bool
	// updated is closed and replaced at each message from another router.
	updated chan struct{}
}

func newSuspects(sessions *node.Sessions) *suspects {
	return &suspects{
		Suspects:   node.NewSuspects(sessions, quarantine.Options{RefusedCrashes: refuseAfterCrashes, TTL: suspectTTL}),
		sessions:   sessions,
		saveNeeded: make(chan struct{}, 1),
		knownBy:    make(map[crash]map[fleet.NodeID]bool),
		updated:    make(chan struct{}),
	}
}

// isQuarantined reports whether a request is refused because of its crashes.
func (q *suspects) isQuarantined(digest string) bool {
	s, ok := q.Lookup(digest)
	return ok && q.Refused(s)
}

// isSuspect reports whether a request was running at a crash. It must run alone.
func (q *suspects) isSuspect(digest string) bool {
	_, ok := q.Lookup(digest)
	return ok
}

// recordCrash records that a request was running when an upstream crashed. It
// waits until the other routers know of the crash, because any of them may
// receive the caller's retry, but no longer than propagationTimeout.
func (q *suspects) recordCrash(req *caller.Request, crashID string) {
	q.Merge([]quarantine.Suspect{{
		Digest:   req.Digest,
		Team:     req.Team,
		Service:  req.Service,
		CrashIDs: []string{crashID},
		Expires:  q.NewExpiry(),
	}})
	select {
	case q.saveNeeded <- struct{}{}:
	default:
	}
	q.awaitPropagation(crash{digest: req.Digest, id: crashID})
}

// awaitPropagation waits until every connected router has reported the crash. A
// router that learns of a crash reports it to all routers, including the sender.
func (q *suspects) awaitPropagation(c crash) {
	timeout := time.NewTimer(propagationTimeout)
	defer timeout.Stop()
	for {
		q.mu.Lock()
		updated := q.updated
		done := q.propagated(c)
		q.mu.Unlock()
		if done {
			return
		}
		select {
		case <-updated:
		case <-timeout.C:
			return
		}
	}
}

// propagated reports whether every connected router knows of the crash. The lock
// must be held.
func (q *suspects) propagated(c crash) bool {
	for _, session := range q.sessions.ByRole(peerpb.Role_ROLE_ROUTER) {
		if !q.knownBy[c][session.ID()] {
			return false
		}
	}
	return true
}

// receive merges the suspects of another router and records which crashes it
// knows of.
func (q *suspects) receive(from fleet.NodeID, list []quarantine.Suspect) {
	q.Merge(list)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.knownBy) > quarantine.MaxSuspects {
		// Losing this state only makes recordCrash wait longer.
		clear(q.knownBy)
	}
	for _, s := range list {
		for _, id := range s.CrashIDs {
			c := crash{digest: s.Digest, id: id}
			if q.knownBy[c] == nil {
				q.knownBy[c] = make(map[fleet.NodeID]bool)
			}
			q.knownBy[c][from] = true
		}
	}
	close(q.updated)
	q.updated = make(chan struct{})
}
