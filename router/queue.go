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

// queue drives the dispatch state machine: it feeds it events and the time,
// sends its messages and wakes the goroutines of waiting requests.
type queue struct {
	sessions *node.Sessions

	mu           sync.Mutex
	stateMachine *dispatch.Router
	wakeTimer    *time.Timer
	nextID       dispatch.RequestID
	waiters      map[dispatch.RequestID]chan waitResult
}

// waitResult is the outcome of a request's wait; exactly one field is set.
type waitResult struct {
	bind   *dispatch.Bind
	refuse *dispatch.Refuse
}

func newQueue(sessions *node.Sessions, cfg dispatch.RouterConfig) *queue {
	return &queue{
		sessions:     sessions,
		stateMachine: dispatch.NewRouter(cfg),
		waiters:      make(map[dispatch.RequestID]chan waitResult),
	}
}

// step passes one event to the state machine and executes its actions.
func (q *queue) step(ev dispatch.RouterEvent) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(ev)
}

func (q *queue) stepLocked(ev dispatch.RouterEvent) {
	for _, action := range q.stateMachine.Step(time.Now(), ev) {
		q.execute(action)
	}
	q.scheduleWake()
}

func (q *queue) execute(action dispatch.RouterAction) {
	switch a := action.(type) {
	case dispatch.SendDemand:
		q.sendDemand(a)
	case dispatch.Bind:
		q.resolve(a.Request, waitResult{bind: &a})
	case dispatch.DeclineGrant:
		q.sendDecline(a.Sidecar, &peerpb.Decline{GrantId: a.GrantID, Team: string(a.Team), Seq: a.Seq})
	case dispatch.Refuse:
		q.resolve(a.Request, waitResult{refuse: &a})
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

// resolve ends the wait of a request. It ignores a request that was canceled.
func (q *queue) resolve(id dispatch.RequestID, res waitResult) {
	ch, ok := q.waiters[id]
	if !ok {
		return
	}
	delete(q.waiters, id)
	ch <- res
}

// scheduleWake sets the timer to the time of the state machine's next event.
func (q *queue) scheduleWake() {
	at, ok := q.stateMachine.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if q.wakeTimer == nil {
		q.wakeTimer = time.AfterFunc(delay, func() { q.step(dispatch.TickRouter{}) })
		return
	}
	q.wakeTimer.Reset(delay)
}

func (q *queue) newRequestID() dispatch.RequestID {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	return q.nextID
}

// wait queues a request and blocks until it is bound, refused or ctx ends. With
// requeue set, a request that was bound before and did not run goes to the head
// of its queue.
func (q *queue) wait(ctx context.Context, req dispatch.Request, requeue bool) (waitResult, error) {
	ch := make(chan waitResult, 1)
	q.mu.Lock()
	q.waiters[req.ID] = ch
	if requeue {
		q.stepLocked(dispatch.Requeue{Request: req})
	} else {
		q.stepLocked(dispatch.Arrive{Request: req})
	}
	q.mu.Unlock()
	select {
	case res := <-ch:
		return res, nil
	case <-ctx.Done():
		q.cancel(req, ch)
		return waitResult{}, ctx.Err()
	}
}

// cancel removes a request from its queue. If the request was bound in the
// meantime, cancel returns its grant.
func (q *queue) cancel(req dispatch.Request, ch <-chan waitResult) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stepLocked(dispatch.CancelRequest{ID: req.ID})
	delete(q.waiters, req.ID)
	select {
	case res := <-ch:
		if res.bind != nil {
			q.returnGrant(req, res.bind)
		}
	default:
	}
}

// returnGrant returns the grant of a request that is not dispatched.
func (q *queue) returnGrant(req dispatch.Request, bind *dispatch.Bind) {
	// Sequence number 0 leaves the demand unchanged.
	q.sendDecline(bind.Sidecar, &peerpb.Decline{GrantId: bind.GrantID, Team: string(req.Team)})
}
