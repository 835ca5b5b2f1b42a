package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const testService = fleet.ServiceID("chat")

// failer fails a test; rapid.T and testing.T implement it.
type failer interface{ Fatalf(string, ...any) }

type requestState int

const (
	stateWaiting requestState = iota
	stateBound
	stateRunning
	stateEnded
)

// simulatedRequest is a request with its state as seen by the caller.
type simulatedRequest struct {
	Request
	router  *simulatedRouter
	state   requestState
	work    time.Duration
	started bool
}

type simulatedRouter struct {
	id          fleet.NodeID
	machine     *Router
	pausedUntil time.Time
	// inbox holds the events received while the router is paused.
	inbox  []RouterEvent
	wakeAt time.Time
}

type simulatedSidecar struct {
	id        fleet.NodeID
	machine   *Sidecar
	accounts  *fakeAccounts
	wakeAt    time.Time
	running   int
	accepting bool
	idleSince time.Time
}

// link is the session between a router and a sidecar. Control messages are
// delivered in order; request streams are delayed independently.
type link struct {
	router  *simulatedRouter
	sidecar *simulatedSidecar
	epoch   int
	up      bool
	delay   time.Duration
	busy    [2]time.Time
	streams map[RequestID]struct{}
}

// simulation runs routers and sidecars over a simulated network, checking the
// invariants of each step.
type simulation struct {
	t        failer
	now      time.Time
	events   timers[func()]
	routers  []*simulatedRouter
	sidecars []*simulatedSidecar
	links    map[fleet.NodeID]map[fleet.NodeID]*link
	requests map[RequestID]*simulatedRequest
	jitter   func() time.Duration
	onStart  func(*simulatedRequest)
	// messages counts control messages and request streams.
	messages int
	// busyTime is the total duration of the started requests.
	busyTime time.Duration
}

// newSimulation connects every router with every sidecar. Router i and sidecar i
// are in failure domain i mod 2 of one region, except that the third of each kind is
// in another region.
func newSimulation(t failer, routers, sidecars, slots int, delay time.Duration, staging bool) *simulation {
	sim := &simulation{
		t: t, now: start, links: map[fleet.NodeID]map[fleet.NodeID]*link{},
		requests: map[RequestID]*simulatedRequest{}, jitter: func() time.Duration { return 0 },
		onStart: func(*simulatedRequest) {},
	}
	place := func(i int) fleet.Location {
		if i == 2 {
			return fleet.Location{Region: "zuid", FailureDomain: "fd2"}
		}
		return fleet.Location{Region: "noord", FailureDomain: fleet.FailureDomainID(fmt.Sprint("fd", i%2))}
	}
	for i := range sidecars {
		accounts := newFakeAccounts()
		sim.sidecars = append(sim.sidecars, &simulatedSidecar{
			id: fleet.NodeID(fmt.Sprint("s", i)), accounts: accounts, accepting: true, idleSince: start,
			machine: NewSidecar(SidecarConfig{Slots: slots, StagingDisabled: !staging}, accounts),
		})
	}
	for i := range routers {
		r := &simulatedRouter{id: fleet.NodeID(fmt.Sprint("r", i))}
		r.machine = NewRouter(RouterConfig{Self: r.id, Location: place(i)})
		sim.routers = append(sim.routers, r)
		sim.links[r.id] = map[fleet.NodeID]*link{}
		for j, s := range sim.sidecars {
			l := &link{router: r, sidecar: s, delay: delay, streams: map[RequestID]struct{}{}}
			sim.links[r.id][s.id] = l
			sim.connect(l, place(j))
		}
	}
	return sim
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.events.set(&timer[func()]{owner: run}, sim.now.Add(d))
}

// run processes events up to the time.
func (sim *simulation) run(until time.Time) {
	for {
		event, due := sim.events.popDue(until)
		if !due {
			break
		}
		sim.now = event.at
		event.owner()
	}
	sim.now = until
}

func (sim *simulation) connect(l *link, place fleet.Location) {
	l.epoch++
	l.up = true
	sim.stepSidecar(l.sidecar, RouterUp{Router: l.router.id, Incarnation: fleet.Incarnation(l.epoch)})
	sim.stepSidecar(l.sidecar, RoundTrip{Router: l.router.id, RTT: 2 * l.delay})
	sim.stepRouter(l.router, SidecarUp{Sidecar: l.sidecar.id, Service: testService, Location: place})
	sim.sendLoad(l)
}

// disconnect drops all messages in flight. Requests that were sent end, as their
// outcome is unknown to their callers.
func (sim *simulation) disconnect(l *link) {
	if !l.up {
		return
	}
	l.up = false
	l.epoch++
	sim.stepRouter(l.router, SidecarDown{Sidecar: l.sidecar.id})
	sim.stepSidecar(l.sidecar, RouterDown{Router: l.router.id})
	for _, id := range slices.Sorted(maps.Keys(l.streams)) {
		sim.requests[id].state = stateEnded
		if !sim.requests[id].started {
			sim.stepSidecar(l.sidecar, RequestFinished{RequestID: uint64(id)})
		}
	}
	clear(l.streams)
}

// send delivers a control message in order, unless the session breaks first.
func (sim *simulation) send(l *link, direction int, deliver func()) {
	sim.messages++
	arrival := latest(sim.now.Add(l.delay+sim.jitter()), l.busy[direction])
	l.busy[direction] = arrival
	sim.deliver(l, arrival.Sub(sim.now), deliver)
}

func (sim *simulation) deliver(l *link, delay time.Duration, deliver func()) {
	epoch := l.epoch
	sim.after(delay, func() {
		if l.epoch == epoch {
			deliver()
		}
	})
}

func (sim *simulation) sendLoad(l *link) {
	load := l.sidecar.machine.Load()
	sim.send(l, 1, func() {
		sim.stepRouter(l.router, SidecarLoad{
			Sidecar: l.sidecar.id, Slots: load.Slots, FreeSlots: load.FreeSlots, Accepting: load.Accepting,
		})
	})
}

func (sim *simulation) arrive(r *simulatedRouter, req Request, work time.Duration) {
	req.Service = testService
	req.Arrived = sim.now
	sim.requests[req.ID] = &simulatedRequest{Request: req, router: r, work: work}
	sim.stepRouter(r, Arrive{Request: req})
}

func (sim *simulation) cancel(id RequestID) {
	q := sim.requests[id]
	if q.state == stateWaiting {
		q.state = stateEnded
		sim.stepRouter(q.router, CancelRequest{ID: id})
	}
}

// pause stops a router; its events are queued until it resumes.
func (sim *simulation) pause(r *simulatedRouter, d time.Duration) {
	r.pausedUntil = latest(r.pausedUntil, sim.now.Add(d))
	sim.after(r.pausedUntil.Sub(sim.now), func() {
		if sim.now.Before(r.pausedUntil) {
			return
		}
		r.pausedUntil = time.Time{}
		inbox := r.inbox
		r.inbox = nil
		for _, ev := range inbox {
			sim.stepRouter(r, ev)
		}
	})
}

// stepRouter applies an event, or queues it while the router is paused.
func (sim *simulation) stepRouter(r *simulatedRouter, ev RouterEvent) {
	if !r.pausedUntil.IsZero() {
		r.inbox = append(r.inbox, ev)
		return
	}
	for _, action := range r.machine.Step(sim.now, ev) {
		sim.routerAction(r, action)
	}
	if wake, ok := r.machine.NextWake(); ok && !wake.Equal(r.wakeAt) {
		r.wakeAt = wake
		sim.after(wake.Sub(sim.now), func() {
			if r.wakeAt.Equal(wake) {
				r.wakeAt = time.Time{}
				sim.stepRouter(r, TickRouter{})
			}
		})
	}
}

func (sim *simulation) routerAction(r *simulatedRouter, action RouterAction) {
	switch a := action.(type) {
	case SendDemand:
		l := sim.links[r.id][a.Sidecar]
		sim.send(l, 0, func() {
			sim.stepSidecar(l.sidecar, DemandReceived{
				Router: r.id, Team: a.Team, Seq: a.Seq, Waiting: a.Waiting, OldestAge: a.OldestAge,
			})
		})
	case DeclineGrant:
		l := sim.links[r.id][a.Sidecar]
		sim.send(l, 0, func() {
			sim.stepSidecar(l.sidecar, GrantDeclined{Router: r.id, GrantID: a.GrantID, Team: a.Team, Seq: a.Seq})
		})
	case Refuse:
		q := sim.requests[a.Request]
		if q.state == stateBound || q.state == stateRunning || (q.started && q.state != stateEnded) {
			sim.t.Fatalf("request %d refused in state %d", a.Request, q.state)
		}
		q.state = stateEnded
	case Bind:
		sim.dispatch(r, a)
	}
}

func (sim *simulation) dispatch(r *simulatedRouter, a Bind) {
	q := sim.requests[a.Request]
	if q.state == stateEnded {
		return // canceled while the router was paused
	}
	if q.state != stateWaiting {
		sim.t.Fatalf("request %d bound in state %d", a.Request, q.state)
	}
	q.state = stateBound
	l := sim.links[r.id][a.Sidecar]
	if !l.up { // resumed before it learned of the broken session
		q.state = stateEnded
		return
	}
	l.streams[q.ID] = struct{}{}
	sim.messages++
	sim.deliver(l, l.delay+sim.jitter(), func() {
		l.sidecar.accounts.charged[q.Team] += q.work.Seconds()
		sim.stepSidecar(l.sidecar, RequestArrived{Router: r.id, GrantID: a.GrantID, RequestID: uint64(q.ID), Solo: q.Solo})
	})
}

// unfinished returns the requests that have not ended, ordered by ID.
func (sim *simulation) unfinished() []RequestID {
	var ids []RequestID
	for id, q := range sim.requests {
		if q.state != stateEnded {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
