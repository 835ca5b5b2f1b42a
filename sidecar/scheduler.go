package sidecar

import (
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fairness"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// scheduler binds the dispatch and fairness state machines to the clock and
// to the sessions. Its lock covers both machines.
type scheduler struct {
	sessions *node.Sessions
	// weightOf returns a team's weight by the configuration in force.
	weightOf func(fleet.TeamID) float64

	mu      sync.Mutex
	machine *dispatch.Sidecar
	ledger  *fairness.Ledger
	now     time.Time
	wake    *time.Timer
	// waiting holds the teams with requests that can be granted.
	waiting map[fleet.TeamID]bool
	// draw orders the teams for the next grant, once drawn is set.
	draw  *fairness.Lottery
	drawn bool
	// serviceSlots is the count of slots of all upstreams of the service, and
	// runTime the moving average of how long a request runs.
	serviceSlots int
	runTime      time.Duration
	// reserved holds the charges of grants that have no request yet.
	reserved map[fleet.TeamID][]uint64
	nextID   uint64
	// verdicts are the requests that wait for a slot.
	verdicts map[uint64]chan verdict
	running  int
	// changed has an element when an account has changed.
	changed chan struct{}
	// reason tells why no new work is accepted.
	reason fleet.Reason
	// announced and announcedReason are what the routers were told last.
	announced       dispatch.Load
	announcedReason fleet.Reason
	usage           slotUsage
}

// verdict tells a request that arrived whether it may run.
type verdict struct {
	start  bool
	reason dispatch.RejectReason
}

func newScheduler(
	self fleet.NodeID, sessions *node.Sessions, weightOf func(fleet.TeamID) float64,
	cfg dispatch.SidecarConfig, ledger fairness.LedgerConfig,
) *scheduler {
	s := &scheduler{
		sessions: sessions,
		weightOf: weightOf,
		draw:     fairness.NewLottery(self),
		ledger:   fairness.NewLedger(ledger),
		waiting:  make(map[fleet.TeamID]bool),
		changed:  make(chan struct{}, 1),
		reserved: make(map[fleet.TeamID][]uint64),
		verdicts: make(map[uint64]chan verdict),
	}
	s.machine = dispatch.NewSidecar(cfg, (*reservations)(s))
	return s
}

// step feeds one event to the dispatch machine and performs its actions.
func (s *scheduler) step(ev dispatch.SidecarEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(ev)
}

func (s *scheduler) stepLocked(ev dispatch.SidecarEvent) {
	s.now = time.Now()
	s.drawn = false
	s.observeUsage()
	for _, action := range s.machine.Step(s.now, ev) {
		s.perform(action)
	}
	s.announceLoad()
	s.arm()
}

func (s *scheduler) perform(action dispatch.SidecarAction) {
	switch a := action.(type) {
	case dispatch.SendGrant:
		grant := &peerpb.Grant{
			Id:          a.GrantID,
			Team:        string(a.Team),
			ExpiresInMs: uint32(a.Expires.Milliseconds()),
		}
		s.sessions.Send(a.Router, &peerpb.Envelope{Body: &peerpb.Envelope_Grant{Grant: grant}})
	case dispatch.TeamWaiting:
		s.setWaiting(a.Team, a.Waiting)
	case dispatch.StartRequest:
		s.running++
		s.decide(a.RequestID, verdict{start: true})
	case dispatch.RejectRequest:
		s.decide(a.RequestID, verdict{reason: a.Reason})
	}
}

func (s *scheduler) setWaiting(team fleet.TeamID, waiting bool) {
	s.ledger.SetActive(team, waiting, s.now)
	if waiting {
		s.waiting[team] = true
		return
	}
	delete(s.waiting, team)
}

func (s *scheduler) decide(id uint64, v verdict) {
	ch, ok := s.verdicts[id]
	if !ok {
		return
	}
	delete(s.verdicts, id)
	ch <- v
}

func (s *scheduler) arm() {
	at, ok := s.machine.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if s.wake == nil {
		s.wake = time.AfterFunc(delay, func() { s.step(dispatch.TickSidecar{}) })
		return
	}
	s.wake.Reset(delay)
}

// demand records a router's demand and passes it on.
func (s *scheduler) demand(router fleet.NodeID, d *peerpb.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	team := fleet.TeamID(d.GetTeam())
	s.now = time.Now()
	s.ledger.SetWeight(team, s.weightOf(team))
	if d.GetWaiting() > 0 {
		// The account is lifted before the first grant is charged to it.
		s.setWaiting(team, true)
	}
	s.stepLocked(dispatch.DemandReceived{
		Router:    router,
		Team:      team,
		Seq:       d.GetSeq(),
		Waiting:   int(d.GetWaiting()),
		OldestAge: time.Duration(d.GetOldestAgeMs()) * time.Millisecond,
	})
	s.setWaiting(team, s.machine.Waiting(team))
}

func (s *scheduler) declined(router fleet.NodeID, d *peerpb.Decline) {
	s.mu.Lock()
	defer s.mu.Unlock()
	team := fleet.TeamID(d.GetTeam())
	s.now = time.Now()
	s.stepLocked(dispatch.GrantDeclined{
		Router:  router,
		GrantID: d.GetGrantId(),
		Team:    team,
		Seq:     d.GetSeq(),
	})
}

func (s *scheduler) routerDown(router fleet.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = time.Now()
	s.stepLocked(dispatch.RouterDown{Router: router})
}

// arrive charges a request and asks for its slot.
func (s *scheduler) arrive(router fleet.NodeID, d *peerpb.Dispatch) (uint64, <-chan verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = time.Now()
	s.nextID++
	id := s.nextID
	ch := make(chan verdict, 1)
	s.verdicts[id] = ch
	team := fleet.TeamID(d.GetTeam())
	s.ledger.SetWeight(team, s.weightOf(team))
	s.ledger.Begin(id, team, 0, s.now)
	s.charged()
	s.stepLocked(dispatch.RequestArrived{
		Router:    router,
		GrantID:   d.GetGrantId(),
		RequestID: id,
		Solo:      d.GetSolo(),
	})
	return id, ch
}

// abandon ends a request that did not run and takes its charge back. Its
// verdict may have come meanwhile.
func (s *scheduler) abandon(id uint64, admitted <-chan verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observeUsage()
	select {
	case v := <-admitted:
		if v.start {
			s.running--
		}
	default:
		delete(s.verdicts, id)
	}
	s.ledger.Release(id, time.Now())
	s.stepLocked(dispatch.RequestFinished{RequestID: id})
}

// finish ends a request that ran and settles its cost.
func (s *scheduler) finish(id uint64, cost float64, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observeRunTime(elapsed)
	s.observeUsage()
	s.running--
	s.ledger.Settle(id, cost, now)
	s.charged()
	s.stepLocked(dispatch.RequestFinished{RequestID: id})
}

// accrue charges what a running request has cost so far.
func (s *scheduler) accrue(id uint64, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Accrue(id, cost)
}

// charged asks for a report soon.
func (s *scheduler) charged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// report returns the accounts that a keeper should hear of.
func (s *scheduler) report() (fairness.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.ledger.Report(now)
}

func (s *scheduler) update(u fairness.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ApplyUpdate(u)
}

func (s *scheduler) totals(t fairness.Totals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ApplyTotals(t)
}

// configure sets the slots of the upstream, those of all upstreams of the
// service, and the cost of a request before any is known.
func (s *scheduler) configure(slots, serviceSlots int, defaultCost float64) {
	s.mu.Lock()
	s.serviceSlots = serviceSlots
	s.ledger.Configure(slots, defaultCost)
	s.mu.Unlock()
	if s.load().Slots != slots {
		s.step(dispatch.SetSlots{Slots: slots})
	}
}
