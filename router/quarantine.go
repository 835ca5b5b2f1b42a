package router

import (
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer"
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

// suspects keeps the quarantine list of this router and spreads it to others.
type suspects struct {
	sessions *node.Sessions
	// unsaved is signalled when the list holds a crash that this router saw.
	unsaved chan struct{}

	mu   sync.Mutex
	list *quarantine.List
	// known holds the routers that are known to know of a crash.
	known map[crash]map[fleet.NodeID]bool
	// learned is closed and replaced at every message of another router.
	learned chan struct{}
}

func newSuspects(sessions *node.Sessions) *suspects {
	return &suspects{
		sessions: sessions,
		unsaved:  make(chan struct{}, 1),
		list:     quarantine.NewList(quarantine.Options{RefusedCrashes: refusedCrashes, TTL: suspectTTL}),
		known:    make(map[crash]map[fleet.NodeID]bool),
		learned:  make(chan struct{}),
	}
}

func (q *suspects) lookup(digest string) (quarantine.Suspect, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.Lookup(digest, time.Now())
}

// refused reports whether a request must not run again.
func (q *suspects) refused(digest string) bool {
	s, ok := q.lookup(digest)
	return ok && q.list.Refused(s)
}

// suspected reports whether a request must run alone.
func (q *suspects) suspected(digest string) bool {
	_, ok := q.lookup(digest)
	return ok
}

// crashed records that a request was running when an upstream crashed, and
// waits until the other routers know it, at most for spreadTimeout: the
// caller's next try may come through any of them.
func (q *suspects) crashed(req *caller.Request, crashID string) {
	q.learn([]quarantine.Suspect{{
		Digest:   req.Digest,
		Team:     req.Team,
		Service:  req.Service,
		CrashIDs: []string{crashID},
		Expires:  time.Now().Add(suspectTTL),
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
	q.learn(list)
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

// learn merges suspects and passes on those that are news.
func (q *suspects) learn(list []quarantine.Suspect) {
	now := time.Now()
	var news []quarantine.Suspect
	q.mu.Lock()
	for _, s := range list {
		if q.list.Merge(s, now) {
			merged, _ := q.list.Lookup(s.Digest, now)
			news = append(news, merged)
		}
	}
	q.mu.Unlock()
	if len(news) == 0 {
		return
	}
	for _, session := range q.sessions.All(peerpb.Role_ROLE_ROUTER) {
		session.Send(node.SuspectsEnvelope(news))
	}
}

// greet sends the whole list to a new router session.
func (q *suspects) greet(s *peer.Session) {
	q.mu.Lock()
	all := q.list.All(time.Now())
	q.mu.Unlock()
	if len(all) > 0 {
		s.Send(node.SuspectsEnvelope(all))
	}
}

// all returns the suspects for the operators' page.
func (q *suspects) all() []quarantine.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.All(time.Now())
}
