package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const worldService = fleet.ServiceID("chat")

// fatalf ends a test; rapid.T and testing.T provide it.
type fatalf interface{ Fatalf(string, ...any) }

type requestState int

const (
	stateWaiting requestState = iota
	stateBound
	stateRunning
	stateEnded
)

// worldRequest is what the caller of a request sees.
type worldRequest struct {
	Request
	router  *worldRouter
	state   requestState
	work    time.Duration
	started bool
}

type worldRouter struct {
	id          fleet.NodeID
	machine     *Router
	frozenUntil time.Time
	// inbox holds the events that came while the router was frozen.
	inbox  []RouterEvent
	wakeAt time.Time
}

type worldSidecar struct {
	id        fleet.NodeID
	machine   *Sidecar
	ledger    *ledger
	wakeAt    time.Time
	running   int
	accepting bool
	idleSince time.Time
}

// link is the session between a router and a sidecar. Control messages keep
// their order; request streams have delays of their own.
type link struct {
	router  *worldRouter
	sidecar *worldSidecar
	epoch   int
	up      bool
	delay   time.Duration
	busy    [2]time.Time
	streams map[RequestID]struct{}
}

// world runs routers and sidecars over a simulated network, checking the
// invariants of each step.
type world struct {
	t        fatalf
	now      time.Time
	events   timers[func()]
	routers  []*worldRouter
	sidecars []*worldSidecar
	links    map[fleet.NodeID]map[fleet.NodeID]*link
	requests map[RequestID]*worldRequest
	jitter   func() time.Duration
	onStart  func(*worldRequest)
	// messages counts control messages and request streams.
	messages int
	// busyTime is the work that was started.
	busyTime time.Duration
}

// newWorld connects every router with every sidecar. Router i and sidecar i
// stand in failure domain i mod 2 of one region, but for the third of each kind.
func newWorld(t fatalf, routers, sidecars, slots int, delay time.Duration, staging bool) *world {
	w := &world{
		t: t, now: start, links: map[fleet.NodeID]map[fleet.NodeID]*link{},
		requests: map[RequestID]*worldRequest{}, jitter: func() time.Duration { return 0 },
		onStart: func(*worldRequest) {},
	}
	place := func(i int) fleet.Location {
		if i == 2 {
			return fleet.Location{Region: "zuid", FailureDomain: "fd2"}
		}
		return fleet.Location{Region: "noord", FailureDomain: fleet.FailureDomainID(fmt.Sprint("fd", i%2))}
	}
	for i := range sidecars {
		l := newLedger()
		w.sidecars = append(w.sidecars, &worldSidecar{
			id: fleet.NodeID(fmt.Sprint("s", i)), ledger: l, accepting: true, idleSince: start,
			machine: NewSidecar(SidecarConfig{Slots: slots, StagingDisabled: !staging}, l),
		})
	}
	for i := range routers {
		r := &worldRouter{id: fleet.NodeID(fmt.Sprint("r", i))}
		r.machine = NewRouter(RouterConfig{Self: r.id, Location: place(i)})
		w.routers = append(w.routers, r)
		w.links[r.id] = map[fleet.NodeID]*link{}
		for j, s := range w.sidecars {
			l := &link{router: r, sidecar: s, delay: delay, streams: map[RequestID]struct{}{}}
			w.links[r.id][s.id] = l
			w.connect(l, place(j))
		}
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.events.set(&timer[func()]{owner: run}, w.now.Add(d))
}

// run plays events until the time.
func (w *world) run(until time.Time) {
	for {
		event, due := w.events.popDue(until)
		if !due {
			break
		}
		w.now = event.at
		event.owner()
	}
	w.now = until
}

func (w *world) connect(l *link, place fleet.Location) {
	l.epoch++
	l.up = true
	w.stepSidecar(l.sidecar, RouterUp{Router: l.router.id, Incarnation: fleet.Incarnation(l.epoch)})
	w.stepSidecar(l.sidecar, RoundTrip{Router: l.router.id, RTT: 2 * l.delay})
	w.stepRouter(l.router, SidecarUp{Sidecar: l.sidecar.id, Service: worldService, Location: place})
	w.sendLoad(l)
}

// disconnect loses everything in flight. The fate of requests that were sent is
// unknown to their callers, so they end.
func (w *world) disconnect(l *link) {
	if !l.up {
		return
	}
	l.up = false
	l.epoch++
	w.stepRouter(l.router, SidecarDown{Sidecar: l.sidecar.id})
	w.stepSidecar(l.sidecar, RouterDown{Router: l.router.id})
	for _, id := range slices.Sorted(maps.Keys(l.streams)) {
		w.requests[id].state = stateEnded
		if !w.requests[id].started {
			w.stepSidecar(l.sidecar, RequestFinished{RequestID: uint64(id)})
		}
	}
	clear(l.streams)
}

// send delivers a control message in order, unless the session breaks first.
func (w *world) send(l *link, direction int, deliver func()) {
	w.messages++
	arrival := latest(w.now.Add(l.delay+w.jitter()), l.busy[direction])
	l.busy[direction] = arrival
	w.deliver(l, arrival.Sub(w.now), deliver)
}

func (w *world) deliver(l *link, delay time.Duration, deliver func()) {
	epoch := l.epoch
	w.after(delay, func() {
		if l.epoch == epoch {
			deliver()
		}
	})
}

func (w *world) sendLoad(l *link) {
	load := l.sidecar.machine.Load()
	w.send(l, 1, func() {
		w.stepRouter(l.router, SidecarLoad{
			Sidecar: l.sidecar.id, Slots: load.Slots, FreeSlots: load.FreeSlots, Accepting: load.Accepting,
		})
	})
}

func (w *world) arrive(r *worldRouter, req Request, work time.Duration) {
	req.Service = worldService
	req.Arrived = w.now
	w.requests[req.ID] = &worldRequest{Request: req, router: r, work: work}
	w.stepRouter(r, Arrive{Request: req})
}

func (w *world) cancel(id RequestID) {
	q := w.requests[id]
	if q.state == stateWaiting {
		q.state = stateEnded
		w.stepRouter(q.router, CancelRequest{ID: id})
	}
}

// freeze stops a router: its events are kept until it goes on.
func (w *world) freeze(r *worldRouter, d time.Duration) {
	r.frozenUntil = latest(r.frozenUntil, w.now.Add(d))
	w.after(r.frozenUntil.Sub(w.now), func() {
		if w.now.Before(r.frozenUntil) {
			return
		}
		r.frozenUntil = time.Time{}
		inbox := r.inbox
		r.inbox = nil
		for _, ev := range inbox {
			w.stepRouter(r, ev)
		}
	})
}

// stepRouter applies an event, after the thaw if the router is frozen.
func (w *world) stepRouter(r *worldRouter, ev RouterEvent) {
	if !r.frozenUntil.IsZero() {
		r.inbox = append(r.inbox, ev)
		return
	}
	for _, action := range r.machine.Step(w.now, ev) {
		w.routerAction(r, action)
	}
	if wake, ok := r.machine.NextWake(); ok && !wake.Equal(r.wakeAt) {
		r.wakeAt = wake
		w.after(wake.Sub(w.now), func() {
			if r.wakeAt.Equal(wake) {
				r.wakeAt = time.Time{}
				w.stepRouter(r, TickRouter{})
			}
		})
	}
}

func (w *world) routerAction(r *worldRouter, action RouterAction) {
	switch a := action.(type) {
	case SendDemand:
		l := w.links[r.id][a.Sidecar]
		w.send(l, 0, func() {
			w.stepSidecar(l.sidecar, DemandReceived{
				Router: r.id, Team: a.Team, Seq: a.Seq, Waiting: a.Waiting, OldestAge: a.OldestAge,
			})
		})
	case DeclineGrant:
		l := w.links[r.id][a.Sidecar]
		w.send(l, 0, func() {
			w.stepSidecar(l.sidecar, GrantDeclined{Router: r.id, GrantID: a.GrantID, Team: a.Team, Seq: a.Seq})
		})
	case Refuse:
		q := w.requests[a.Request]
		if q.state == stateBound || q.state == stateRunning || (q.started && q.state != stateEnded) {
			w.t.Fatalf("request %d refused in state %d", a.Request, q.state)
		}
		q.state = stateEnded
	case Bind:
		w.dispatch(r, a)
	}
}

func (w *world) dispatch(r *worldRouter, a Bind) {
	q := w.requests[a.Request]
	if q.state == stateEnded {
		return // cancelled while the router was frozen
	}
	if q.state != stateWaiting {
		w.t.Fatalf("request %d bound in state %d", a.Request, q.state)
	}
	q.state = stateBound
	l := w.links[r.id][a.Sidecar]
	if !l.up { // thawed before it learned of the broken session
		q.state = stateEnded
		return
	}
	l.streams[q.ID] = struct{}{}
	w.messages++
	w.deliver(l, l.delay+w.jitter(), func() {
		l.sidecar.ledger.charged[q.Team] += q.work.Seconds()
		w.stepSidecar(l.sidecar, RequestArrived{Router: r.id, GrantID: a.GrantID, RequestID: uint64(q.ID), Solo: q.Solo})
	})
}

// unfinished returns the requests that did not end, in order.
func (w *world) unfinished() []RequestID {
	var ids []RequestID
	for id, q := range w.requests {
		if q.state != stateEnded {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
