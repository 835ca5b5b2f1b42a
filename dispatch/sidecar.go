package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Defaults of SidecarConfig.
const (
	defaultGrantExpiryFloor = 20 * time.Millisecond
	defaultGrantExpiryRTTs  = 4
)

// demandRetentionRefreshes is the number of refresh intervals after which demand
// that was not refreshed expires.
const demandRetentionRefreshes = 3

// Sidecar is the state machine of the sidecar's side of dispatch.
//
// Invariants: running <= slots at every start, and at every grant
// grants + staged + running <= slots + staging.
type Sidecar struct {
	cfg       SidecarConfig
	accounts  Accounts
	now       time.Time
	slots     int
	accepting bool
	routers   map[fleet.NodeID]*routerPeer
	teams     map[fleet.TeamID]*teamDemand
	// grantableTeams holds the teams with grantable demand, in no particular order.
	grantableTeams []*teamDemand
	grants         map[uint64]*grant
	lastGrantID    uint64
	// staged holds the requests that arrived and wait for a slot, oldest first.
	staged      []stagedRequest
	running     map[uint64]struct{}
	soloRunning bool
	completions rateEstimator
	// roundTrip is the moving average of the round trips to the routers that were
	// sent grants.
	roundTrip time.Duration
	timers    timers[sidecarTimer]
	actions   []SidecarAction
}

// sidecarTimer is the owner of a timer of the sidecar.
type sidecarTimer interface{ onTimer(s *Sidecar) }

// routerPeer is the sidecar's view of a connected router.
type routerPeer struct {
	id      fleet.NodeID
	rtt     time.Duration
	demands map[fleet.TeamID]*demand
	// unresponsive is set from the expiry of an unanswered grant to the next message
	// from the router.
	unresponsive bool
	// remote is set for a router in another region.
	remote bool
	// backoff multiplies the expiry of grants; it doubles whenever one expires
	// unanswered.
	backoff int
	// lastGrant is the ID of the latest grant to this router.
	lastGrant uint64
}

// NewSidecar returns a sidecar that accepts work and has no routers.
func NewSidecar(cfg SidecarConfig, accounts Accounts) *Sidecar {
	cfg.GrantExpiryFloor = cmp.Or(cfg.GrantExpiryFloor, defaultGrantExpiryFloor)
	cfg.GrantExpiryRTTs = cmp.Or(cfg.GrantExpiryRTTs, defaultGrantExpiryRTTs)
	cfg.RefreshInterval = cmp.Or(cfg.RefreshInterval, defaultRefreshInterval)
	return &Sidecar{
		cfg:         cfg,
		accounts:    accounts,
		slots:       cfg.Slots,
		accepting:   true,
		routers:     map[fleet.NodeID]*routerPeer{},
		teams:       map[fleet.TeamID]*teamDemand{},
		grants:      map[uint64]*grant{},
		lastGrantID: uint64(cfg.Incarnation),
		running:     map[uint64]struct{}{},
	}
}

// Step applies an event and returns the actions to perform, in order. Timers that
// are due fire before the event is applied.
func (s *Sidecar) Step(now time.Time, ev SidecarEvent) []SidecarAction {
	if now.After(s.now) {
		s.now = now
	}
	s.actions = nil
	s.fireTimers()
	switch ev := ev.(type) {
	case RouterUp:
		s.routerDown(ev.Router)
		peer := newRouterPeer(ev.Router)
		peer.remote = ev.Location.Region != s.cfg.Location.Region
		s.routers[ev.Router] = peer
	case RouterDown:
		s.routerDown(ev.Router)
	case DemandReceived:
		s.demandReceived(ev)
	case GrantDeclined:
		s.grantDeclined(ev)
	case RequestArrived:
		s.requestArrived(ev)
	case RequestFinished:
		s.requestFinished(ev.RequestID)
	case SetSlots:
		s.slots = ev.Slots
	case SetAccepting:
		s.setAccepting(ev.Accepting)
	case RoundTrip:
		if peer, ok := s.routers[ev.Router]; ok {
			peer.rtt = ev.RTT
		}
	case TickSidecar:
	}
	s.startStaged()
	s.grantFreeCapacity()
	return s.actions
}

// NextWake returns when TickSidecar is due; false if no timer is set.
func (s *Sidecar) NextWake() (time.Time, bool) { return s.timers.next() }

// Load returns the state to report to routers.
func (s *Sidecar) Load() Load {
	return Load{
		Slots:     s.slots,
		FreeSlots: max(s.slots-s.committed(), 0),
		Accepting: s.accepting,
	}
}

// committed returns the number of grants and requests that hold a slot or wait for
// one.
func (s *Sidecar) committed() int {
	return len(s.grants) + len(s.staged) + len(s.running)
}

func (s *Sidecar) emit(a SidecarAction) { s.actions = append(s.actions, a) }

func (s *Sidecar) fireTimers() {
	for {
		tm, due := s.timers.popDue(s.now)
		if !due {
			return
		}
		tm.owner.onTimer(s)
	}
}

func newRouterPeer(id fleet.NodeID) *routerPeer {
	return &routerPeer{id: id, demands: map[fleet.TeamID]*demand{}, backoff: 1}
}

// routerDown discards a router's demand and releases its grants. Requests that
// have arrived continue until they finish.
func (s *Sidecar) routerDown(id fleet.NodeID) {
	peer, ok := s.routers[id]
	if !ok {
		return
	}
	for _, grantID := range slices.Sorted(maps.Keys(s.grants)) {
		if g := s.grants[grantID]; g.demand.router == peer {
			s.releaseGrant(g)
		}
	}
	for _, team := range slices.Sorted(maps.Keys(peer.demands)) {
		s.dropDemand(peer.demands[team])
	}
	delete(s.routers, id)
}

// markResponsive makes a router eligible for grants again.
func (s *Sidecar) markResponsive(peer *routerPeer) {
	if peer.unresponsive {
		s.setUnresponsive(peer, false)
	}
}

func (s *Sidecar) setUnresponsive(peer *routerPeer, unresponsive bool) {
	peer.unresponsive = unresponsive
	for _, team := range slices.Sorted(maps.Keys(peer.demands)) {
		s.updateGrantable(peer.demands[team])
	}
}
