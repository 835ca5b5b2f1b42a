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
	// propagationTimeout bounds the wait until the other routers know of a crash.
	propagationTimeout = time.Second
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = time.Hour
	// refuseAfterCrashes is the count of crashes from which a request is refused.
	refuseAfterCrashes = 2
)

// crash is one crash in which a request was involved.
type crash struct{ digest, id string }

// suspects is the quarantine list of this router, and what the others know of it.
type suspects struct {
	*node.Suspects
	sessions *node.Sessions
	// saveNeeded is signalled when the list holds a crash that this router saw.
	saveNeeded chan struct{}

	mu sync.Mutex
	// knownBy holds the routers that are knownBy to know of a crash.
	knownBy map[crash]map[fleet.NodeID]bool
	// updated is closed and replaced at every message of another router.
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

// isQuarantined reports whether a request must not run again.
func (q *suspects) isQuarantined(digest string) bool {
	s, ok := q.Lookup(digest)
	return ok && q.Refused(s)
}

// isSuspect reports whether a request must run alone.
func (q *suspects) isSuspect(digest string) bool {
	_, ok := q.Lookup(digest)
	return ok
}

// recordCrash records that a request was running when an upstream recordCrash, and
// waits until the other routers know it, at most for spreadTimeout: the
// caller's next try may come through any of them.
func (q *suspects) recordCrash(req *caller.Request, crashID string) {
	q.Learn([]quarantine.Suspect{{
		Digest:   req.Digest,
		Team:     req.Team,
		Service:  req.Service,
		CrashIDs: []string{crashID},
		Expires:  q.Expires(),
	}})
	select {
	case q.saveNeeded <- struct{}{}:
	default:
	}
	q.awaitPropagation(crash{digest: req.Digest, id: crashID})
}

// awaitPropagation waits until every connected router has told of the crash: who
// learns of one tells all others, the sender included.
func (q *suspects) awaitPropagation(c crash) {
	timeout := time.NewTimer(propagationTimeout)
	defer timeout.Stop()
	for {
		q.mu.Lock()
		learned := q.updated
		spread := q.propagated(c)
		q.mu.Unlock()
		if spread {
			return
		}
		select {
		case <-learned:
		case <-timeout.C:
			return
		}
	}
}

func (q *suspects) propagated(c crash) bool {
	for _, session := range q.sessions.All(peerpb.Role_ROLE_ROUTER) {
		if !q.knownBy[c][session.ID()] {
			return false
		}
	}
	return true
}

// receive merges what another router tells, and notes that it knows it.
func (q *suspects) receive(from fleet.NodeID, list []quarantine.Suspect) {
	q.Learn(list)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.knownBy) > quarantine.MaxSuspects {
		// What is forgotten only makes a later crash wait longer.
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
