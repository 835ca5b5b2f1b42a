package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Defaults of RouterConfig.
const (
	defaultProbeInterval   = 10 * time.Millisecond
	defaultRefreshInterval = 500 * time.Millisecond
	defaultFirstTargets    = 2
	defaultMaxFanout       = 16
)

// queueRetention is how long an empty queue is kept for its drain rate.
const queueRetention = 60 * time.Second

// Router is the state machine of the router's side of dispatch.
type Router struct {
	cfg      RouterConfig
	now      time.Time
	stopping bool
	seq      uint64
	sidecars map[fleet.NodeID]*sidecarPeer
	services map[fleet.ServiceID]*service
	// serviceList holds the services in order of creation, for a deterministic
	// iteration.
	serviceList []*service
	waiting     map[RequestID]*pendingRequest
	bytes       int64
	teams       map[fleet.TeamID]*teamUsage
	timers      timers[routerTimer]
	// candidates is a buffer that the selection of sidecars reuses.
	candidates []*sidecarPeer
	actions    []RouterAction
}

// routerTimer is the owner of a timer of the router.
type routerTimer interface{ onTimer(r *Router) }

// service groups the sidecars and queues of one service.
type service struct {
	id fleet.ServiceID
	// sidecars is sorted by id.
	sidecars []*sidecarPeer
	queues   map[fleet.TeamID]*teamQueue
	// active holds the queues that are not empty, in order of activation.
	active []*teamQueue
}

// sidecarPeer is the router's view of a connected sidecar.
type sidecarPeer struct {
	id        fleet.NodeID
	hash      uint64
	service   *service
	distance  fleet.Distance
	accepting bool
	// slots is 0 while unknown.
	slots int
	free  int
}

// NewRouter returns a router without sidecars.
func NewRouter(cfg RouterConfig) *Router {
	cfg.ProbeInterval = cmp.Or(cfg.ProbeInterval, defaultProbeInterval)
	cfg.RefreshInterval = cmp.Or(cfg.RefreshInterval, defaultRefreshInterval)
	cfg.FirstTargets = cmp.Or(cfg.FirstTargets, defaultFirstTargets)
	cfg.MaxFanout = max(cmp.Or(cfg.MaxFanout, defaultMaxFanout), cfg.FirstTargets)
	return &Router{
		cfg:      cfg,
		sidecars: map[fleet.NodeID]*sidecarPeer{},
		services: map[fleet.ServiceID]*service{},
		waiting:  map[RequestID]*pendingRequest{},
		teams:    map[fleet.TeamID]*teamUsage{},
	}
}

// Step applies an event and returns the actions to perform, in order. Timers that
// are due fire before the event is applied.
func (r *Router) Step(now time.Time, ev RouterEvent) []RouterAction {
	if now.After(r.now) {
		r.now = now
	}
	r.actions = nil
	r.fireTimers()
	switch ev := ev.(type) {
	case Arrive:
		r.arrive(ev.Request)
	case Requeue:
		r.requeue(ev.Request)
	case CancelRequest:
		r.cancel(ev.ID)
	case GrantReceived:
		r.grant(ev)
	case RequestEnded:
		r.requestEnded(ev.Sidecar)
	case SidecarUp:
		r.sidecarUp(ev)
	case SidecarDown:
		r.sidecarDown(ev.Sidecar)
	case SidecarLoad:
		r.sidecarLoad(ev)
	case StopAccepting:
		r.stopping = true
	case UpdateLimits:
		r.cfg.Limits = ev.Limits
	case TickRouter:
	}
	return r.actions
}

// NextWake returns when TickRouter is due; false if no timer is set.
func (r *Router) NextWake() (time.Time, bool) { return r.timers.next() }

func (r *Router) emit(a RouterAction) { r.actions = append(r.actions, a) }

func (r *Router) fireTimers() {
	for {
		tm, due := r.timers.popDue(r.now)
		if !due {
			return
		}
		tm.owner.onTimer(r)
	}
}

// service returns the service, creating it on first use.
func (r *Router) service(id fleet.ServiceID) *service {
	if s, ok := r.services[id]; ok {
		return s
	}
	s := &service{id: id, queues: map[fleet.TeamID]*teamQueue{}}
	r.services[id] = s
	r.serviceList = append(r.serviceList, s)
	return s
}

// queue returns the queue of a team, creating it on first use.
func (r *Router) queue(id fleet.ServiceID, team fleet.TeamID) *teamQueue {
	s := r.service(id)
	if q, ok := s.queues[team]; ok {
		return q
	}
	q := newTeamQueue(r.cfg.Self, s, team)
	s.queues[team] = q
	r.timers.set(&q.wakeTimer, r.now.Add(queueRetention))
	return q
}

// grant binds the oldest request that the sidecar may run, or declines the grant.
func (r *Router) grant(ev GrantReceived) {
	sc, ok := r.sidecars[ev.Sidecar]
	if !ok {
		r.decline(ev)
		return
	}
	q := sc.service.queues[ev.Team]
	if q == nil || q.len == 0 {
		r.decline(ev)
		return
	}
	a := q.announcementTo(sc)
	p := q.oldestFor(sc.id)
	if p == nil || !sc.accepting || !ev.Expires.After(r.now) {
		r.decline(ev)
		if a != nil {
			a.waiting = 0
			r.sendUpdates(q)
		}
		return
	}
	if a != nil {
		// The sidecar decrements its own count when the request arrives.
		a.waiting = max(a.waiting-1, 0)
		a.granted = true
	}
	sc.free = max(sc.free-1, 0)
	q.drainRate.add(r.now)
	r.emit(Bind{Request: p.ID, Sidecar: sc.id, GrantID: ev.GrantID})
	r.remove(p)
}

func (r *Router) decline(ev GrantReceived) {
	r.seq++
	r.emit(DeclineGrant{Sidecar: ev.Sidecar, GrantID: ev.GrantID, Team: ev.Team, Seq: r.seq})
}

// requestEnded marks the slot of a bound request as free.
func (r *Router) requestEnded(id fleet.NodeID) {
	if sc, ok := r.sidecars[id]; ok {
		sc.free = min(sc.free+1, sc.slots)
	}
}

func (r *Router) sidecarUp(ev SidecarUp) {
	r.sidecarDown(ev.Sidecar)
	s := r.service(ev.Service)
	sc := &sidecarPeer{
		id:        ev.Sidecar,
		hash:      xxhash.Sum64String(string(ev.Sidecar)),
		service:   s,
		distance:  fleet.DistanceBetween(r.cfg.Location, ev.Location),
		accepting: true,
	}
	r.sidecars[sc.id] = sc
	at, _ := slices.BinarySearchFunc(s.sidecars, sc.id, comparePeerID)
	s.sidecars = slices.Insert(s.sidecars, at, sc)
	r.announceActiveQueues(sc)
	r.announceForFreeSlots(sc, 1)
}

func (r *Router) sidecarDown(id fleet.NodeID) {
	sc, ok := r.sidecars[id]
	if !ok {
		return
	}
	delete(r.sidecars, id)
	s := sc.service
	if at, found := slices.BinarySearchFunc(s.sidecars, id, comparePeerID); found {
		s.sidecars = slices.Delete(s.sidecars, at, at+1)
	}
	r.stopAnnouncingTo(sc)
}

func comparePeerID(sc *sidecarPeer, id fleet.NodeID) int { return cmp.Compare(sc.id, id) }

func (r *Router) sidecarLoad(ev SidecarLoad) {
	sc, ok := r.sidecars[ev.Sidecar]
	if !ok {
		return
	}
	returned := ev.Accepting && !sc.accepting
	sc.slots = ev.Slots
	sc.free = ev.FreeSlots
	sc.accepting = ev.Accepting
	if !sc.accepting {
		r.stopAnnouncingTo(sc)
		return
	}
	if returned {
		r.announceActiveQueues(sc)
	}
	r.announceForFreeSlots(sc, sc.free)
}
