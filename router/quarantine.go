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

// suspects keeps the quarantine list of this router and spreads it to others.
type suspects struct {
	sessions *node.Sessions

	mu   sync.Mutex
	list *quarantine.List
	seq  uint64
	// acks are the updates that wait for the routers that were sent them.
	acks map[uint64]*pendingAcks
}

// pendingAcks is an update that some routers have not confirmed.
type pendingAcks struct {
	missing map[fleet.NodeID]bool
	done    chan struct{}
}

// ackTimeout bounds how long an answer waits until other routers know of a
// suspect.
const ackTimeout = time.Second

func newSuspects(sessions *node.Sessions) *suspects {
	return &suspects{
		sessions: sessions,
		list:     quarantine.NewList(),
		acks:     make(map[uint64]*pendingAcks),
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
	return ok && s.Refused()
}

// suspected reports whether a request must run alone.
func (q *suspects) suspected(digest string) bool {
	_, ok := q.lookup(digest)
	return ok
}

// crashed records that a request was running when an upstream crashed. It
// returns once every connected router knows, or after ackTimeout: a caller that
// resends its request elsewhere when it has its answer meets routers that know.
func (q *suspects) crashed(req *caller.Request, crashID string) {
	news := q.merge([]quarantine.Suspect{{
		Digest:   req.Digest,
		Team:     req.Team,
		Service:  req.Service,
		CrashIDs: []string{crashID},
		Expires:  time.Now().Add(quarantine.TTL),
	}})
	if len(news) > 0 {
		q.spreadAndWait(news)
	}
}

func (q *suspects) spreadAndWait(news []quarantine.Suspect) {
	routers := q.sessions.All(peerpb.Role_ROLE_ROUTER)
	if len(routers) == 0 {
		return
	}
	pending := &pendingAcks{missing: make(map[fleet.NodeID]bool), done: make(chan struct{})}
	for _, session := range routers {
		pending.missing[session.ID()] = true
	}
	q.mu.Lock()
	q.seq++
	seq := q.seq
	q.acks[seq] = pending
	q.mu.Unlock()
	for _, session := range routers {
		session.Send(suspectsEnvelope(news, seq))
	}
	select {
	case <-pending.done:
	case <-time.After(ackTimeout):
	}
	q.mu.Lock()
	delete(q.acks, seq)
	q.mu.Unlock()
}

// acknowledged takes another router's confirmation of an update.
func (q *suspects) acknowledged(router fleet.NodeID, seq uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	pending := q.acks[seq]
	if pending == nil || !pending.missing[router] {
		return
	}
	delete(pending.missing, router)
	if len(pending.missing) == 0 {
		close(pending.done)
	}
}

// receive takes another router's update, passes on what is news, and confirms
// it.
func (q *suspects) receive(s *peer.Session, m *peerpb.SuspectUpdate) {
	news := q.merge(suspectsFromWire(m))
	if m.GetSeq() > 0 {
		ack := &peerpb.SuspectAck{Seq: m.GetSeq()}
		s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_SuspectAck{SuspectAck: ack}})
	}
	if len(news) == 0 {
		return
	}
	for _, session := range q.sessions.All(peerpb.Role_ROLE_ROUTER) {
		if session != s {
			session.Send(suspectsEnvelope(news, 0))
		}
	}
}

// merge adds suspects and returns those that are news, as they stand now.
func (q *suspects) merge(list []quarantine.Suspect) []quarantine.Suspect {
	now := time.Now()
	var news []quarantine.Suspect
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range list {
		if q.list.Merge(s, now) {
			merged, _ := q.list.Lookup(s.Digest, now)
			news = append(news, merged)
		}
	}
	return news
}

// greet sends the whole list to a new router session.
func (q *suspects) greet(s *peer.Session) {
	q.mu.Lock()
	all := q.list.All(time.Now())
	q.mu.Unlock()
	if len(all) > 0 {
		s.Send(suspectsEnvelope(all, 0))
	}
}

// all returns the suspects for the operators' page.
func (q *suspects) all() []quarantine.Suspect {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.list.All(time.Now())
}

func suspectsEnvelope(list []quarantine.Suspect, seq uint64) *peerpb.Envelope {
	update := &peerpb.SuspectUpdate{Seq: seq}
	for _, s := range list {
		update.Suspects = append(update.Suspects, &peerpb.Suspect{
			Digest:        s.Digest,
			CrashIds:      s.CrashIDs,
			ExpiresUnixMs: uint64(s.Expires.UnixMilli()),
			Team:          string(s.Team),
			Service:       string(s.Service),
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Suspects{Suspects: update}}
}

func suspectsFromWire(m *peerpb.SuspectUpdate) []quarantine.Suspect {
	var list []quarantine.Suspect
	for _, s := range m.GetSuspects() {
		list = append(list, quarantine.Suspect{
			Digest:   s.GetDigest(),
			CrashIDs: s.GetCrashIds(),
			Expires:  time.UnixMilli(int64(s.GetExpiresUnixMs())),
			Team:     fleet.TeamID(s.GetTeam()),
			Service:  fleet.ServiceID(s.GetService()),
		})
	}
	return list
}
