package router

import (
	"context"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// queue binds the dispatch state machine to the clock, the sessions and the
// goroutines of waiting requests.
type queue struct {
	sessions *node.Sessions

	mu      sync.Mutex
	machine *dispatch.Router
	wake    *time.Timer
	nextID  dispatch.RequestID
	waiters map[dispatch.RequestID]chan verdict
}

// verdict ends a request's wait: it is either bound or refused.
type verdict struct {
	bind   *dispatch.Bind
	refuse *dispatch.Refuse
}

func newQueue(sessions *node.Sessions, cfg dispatch.RouterConfig) *queue {
	return &queue{
		sessions: sessions,
		machine:  dispatch.NewRouter(cfg),
		waiters:  make(map[dispatch.RequestID]chan verdict),
	}
}

// step feeds one event to the machine and performs its actions.
func (q *queue) step(ev dispatch.RouterEvent) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(ev)
}

func (q *queue) stepLocked(ev dispatch.RouterEvent) {
	for _, action := range q.machine.Step(time.Now(), ev) {
		q.perform(action)
	}
	q.arm()
}

func (q *queue) perform(action dispatch.RouterAction) {
	switch a := action.(type) {
	case dispatch.SendDemand:
		q.sendDemand(a)
	case dispatch.Bind:
		q.decide(a.Request, verdict{bind: &a})
	case dispatch.DeclineGrant:
		q.sendDecline(a.Sidecar, &peerpb.Decline{GrantId: a.GrantID, Team: string(a.Team), Seq: a.Seq})
	case dispatch.Refuse:
		q.decide(a.Request, verdict{refuse: &a})
	}
}

func (q *queue) sendDemand(a dispatch.SendDemand) {
	demand := &peerpb.Demand{
		Team:        string(a.Team),
		Seq:         a.Seq,
		Waiting:     uint32(a.Waiting),
		OldestAgeMs: uint32(a.OldestAge.Milliseconds()),
	}
	update := &peerpb.DemandUpdate{Demands: []*peerpb.Demand{demand}}
	q.sessions.Send(a.Sidecar, &peerpb.Envelope{Body: &peerpb.Envelope_Demand{Demand: update}})
}

func (q *queue) sendDecline(sidecar fleet.NodeID, d *peerpb.Decline) {
	q.sessions.Send(sidecar, &peerpb.Envelope{Body: &peerpb.Envelope_Decline{Decline: d}})
}

func (q *queue) decide(id dispatch.RequestID, v verdict) {
	ch, ok := q.waiters[id]
	if !ok {
		return
	}
	delete(q.waiters, id)
	ch <- v
}

func (q *queue) arm() {
	at, ok := q.machine.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if q.wake == nil {
		q.wake = time.AfterFunc(delay, func() { q.step(dispatch.TickRouter{}) })
		return
	}
	q.wake.Reset(delay)
}

// newRequest returns a request's identifier.
func (q *queue) newRequest() dispatch.RequestID {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	return q.nextID
}

// wait queues a request and blocks until it is bound or refused, or ctx ends.
// Again queues one that was bound and did not run at the head of its queue.
func (q *queue) wait(ctx context.Context, req dispatch.Request, again bool) (verdict, error) {
	ch := make(chan verdict, 1)
	q.mu.Lock()
	q.waiters[req.ID] = ch
	if again {
		q.stepLocked(dispatch.Requeue{Request: req})
	} else {
		q.stepLocked(dispatch.Arrive{Request: req})
	}
	q.mu.Unlock()
	select {
	case v := <-ch:
		return v, nil
	case <-ctx.Done():
		q.cancel(req, ch)
		return verdict{}, ctx.Err()
	}
}

// cancel takes a request out of its queue. If it was bound meanwhile, its
// grant is returned.
func (q *queue) cancel(req dispatch.Request, ch <-chan verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(dispatch.CancelRequest{ID: req.ID})
	delete(q.waiters, req.ID)
	select {
	case v := <-ch:
		if v.bind != nil {
			// Sequence number 0 returns the grant and leaves the demand as it is.
			q.sendDecline(v.bind.Sidecar, &peerpb.Decline{GrantId: v.bind.GrantID, Team: string(req.Team)})
		}
	default:
	}
}
