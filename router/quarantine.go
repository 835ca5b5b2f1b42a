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
	// spreadTimeout bounds the wait until the other routers know of a crash.
	spreadTimeout = time.Second
	// suspectTTL is how long a suspect is remembered after its last crash.
	suspectTTL = time.Hour
	// refusedCrashes is the count of crashes from which a request is refused.
	refusedCrashes = 2
)

// crash is one crash in which a request was involved.
type crash struct{ digest, id string }

// suspects is the quarantine list of this router, and what the others know of it.
type suspects struct {
	*node.Suspects
	sessions *node.Sessions
	// unsaved is signalled when the list holds a crash that this router saw.
	unsaved chan struct{}

	mu sync.Mutex
	// known holds the routers that are known to know of a crash.
	known map[crash]map[fleet.NodeID]bool
	// learned is closed and replaced at every message of another router.
	learned chan struct{}
}

func newSuspects(sessions *node.Sessions) *suspects {
	return &suspects{
		Suspects: node.NewSuspects(sessions, quarantine.Options{RefusedCrashes: refusedCrashes, TTL: suspectTTL}),
		sessions: sessions,
		unsaved:  make(chan struct{}, 1),
		known:    make(map[crash]map[fleet.NodeID]bool),
		learned:  make(chan struct{}),
	}
}

// refuses reports whether a request must not run again.
func (q *suspects) refuses(digest string) bool {
	s, ok := q.Lookup(digest)
	return ok && q.Refused(s)
}

// suspected reports whether a request must run alone.
func (q *suspects) suspected(digest string) bool {
	_, ok := q.Lookup(digest)
	return ok
}

// crashed records that a request was running when an upstream crashed, and
// waits until the other routers know it, at most for spreadTimeout: the
// caller's next try may come through any of them.
func (q *suspects) crashed(req *caller.Request, crashID string) {
	q.Learn([]quarantine.Suspect{{
		Digest:   req.Digest,
		Team:     req.Team,
		Service:  req.Service,
		CrashIDs: []string{crashID},
		Expires:  q.Expires(),
	}})
	select {
	case q.unsaved <- struct{}{}:
	default:
	}
	q.awaitSpread(crash{digest: req.Digest, id: crashID})
}

// awaitSpread waits until every connected router has told of the crash: who
// learns of one tells all others, the sender included.
func (q *suspects) awaitSpread(c crash) {
	timeout := time.NewTimer(spreadTimeout)
	defer timeout.Stop()
	for {
		q.mu.Lock()
		learned := q.learned
		spread := q.spread(c)
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

func (q *suspects) spread(c crash) bool {
	for _, session := range q.sessions.All(peerpb.Role_ROLE_ROUTER) {
		if !q.known[c][session.ID()] {
			return false
		}
	}
	return true
}

// hear merges what another router tells, and notes that it knows it.
func (q *suspects) hear(from fleet.NodeID, list []quarantine.Suspect) {
	q.Learn(list)
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.known) > quarantine.MaxSuspects {
		// What is forgotten only makes a later crash wait longer.
		clear(q.known)
	}
	for _, s := range list {
		for _, id := range s.CrashIDs {
			c := crash{digest: s.Digest, id: id}
			if q.known[c] == nil {
				q.known[c] = make(map[fleet.NodeID]bool)
			}
			q.known[c][from] = true
		}
	}
	close(q.learned)
	q.learned = make(chan struct{})
}
