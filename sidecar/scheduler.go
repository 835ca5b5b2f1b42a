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

// scheduler drives the dispatch and fairness state machines with the current time
// and the messages of the sessions. Its lock protects both.
type scheduler struct {
	sessions *node.Sessions
	// weightOf returns a team's weight in the configuration in force.
	weightOf func(fleet.TeamID) float64

	mu         sync.Mutex
	dispatcher *dispatch.Sidecar
	ledger     *fairness.Ledger
	now        time.Time
	wakeTimer  *time.Timer
	// waiting holds the teams with waiting requests to which slots can be granted.
	waiting map[fleet.TeamID]bool
	// lottery orders the teams for the next grant if lotteryPrepared is set.
	lottery         *fairness.Lottery
	lotteryPrepared bool
	// serviceSlots is the number of slots of all upstreams of the service, and
	// runTime is the moving average of the requests' run times.
	serviceSlots int
	runTime      time.Duration
	// reserved holds the ledger's identifiers of the charges for grants whose
	// requests have not arrived yet.
	reserved map[fleet.TeamID][]uint64
	// lastID is the last identifier of a charge or request.
	lastID uint64
	// decisions holds the channels of the requests that wait for a slot, by
	// identifier.
	decisions map[uint64]chan decision
	running   int
	// accountsChanged has an element if an account has changed since the last
	// receive.
	accountsChanged chan struct{}
	// notAcceptingReason is ReasonNone while new requests are accepted.
	notAcceptingReason fleet.Reason
	// announcedLoad and announcedReason are the values last sent to all routers.
	announcedLoad   dispatch.Load
	announcedReason fleet.Reason
	usage           slotUsage
}

// decision tells whether the dispatcher admitted a request to run, and otherwise why it
// was rejected.
type decision struct {
	admitted bool
	reason   dispatch.RejectReason
}

func newScheduler(
	id fleet.NodeID, sessions *node.Sessions, weightOf func(fleet.TeamID) float64,
	cfg dispatch.SidecarConfig, ledger fairness.LedgerConfig,
) *scheduler {
	s := &scheduler{
		sessions:        sessions,
		weightOf:        weightOf,
		lottery:         fairness.NewLottery(id),
		ledger:          fairness.NewLedger(ledger),
		waiting:         make(map[fleet.TeamID]bool),
		accountsChanged: make(chan struct{}, 1),
		reserved:        make(map[fleet.TeamID][]uint64),
		decisions:       make(map[uint64]chan decision),
	}
	s.dispatcher = dispatch.NewSidecar(cfg, (*dispatchAccounts)(s))
	return s
}

// step passes an event to the dispatcher and executes the resulting actions.
func (s *scheduler) step(ev dispatch.SidecarEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stepLocked(ev)
}

func (s *scheduler) stepLocked(ev dispatch.SidecarEvent) {
	s.now = time.Now()
	s.lotteryPrepared = false
	s.recordUsage()
	for _, action := range s.dispatcher.Step(s.now, ev) {
		s.perform(action)
	}
	s.broadcastLoadChange()
	s.scheduleWake()
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
		s.decide(a.RequestID, decision{admitted: true})
	case dispatch.RejectRequest:
		s.decide(a.RequestID, decision{reason: a.Reason})
	}
}

func (s *scheduler) setWaiting(team fleet.TeamID, waiting bool) {
	s.ledger.SetWaiting(team, waiting, s.now)
	if waiting {
		s.waiting[team] = true
		return
	}
	delete(s.waiting, team)
}

func (s *scheduler) decide(id uint64, d decision) {
	ch, ok := s.decisions[id]
	if !ok {
		return
	}
	delete(s.decisions, id)
	ch <- d
}

func (s *scheduler) scheduleWake() {
	at, ok := s.dispatcher.NextWake()
	if !ok {
		return
	}
	delay := max(time.Until(at), 0)
	if s.wakeTimer == nil {
		s.wakeTimer = time.AfterFunc(delay, func() { s.step(dispatch.TickSidecar{}) })
		return
	}
	s.wakeTimer.Reset(delay)
}

// receiveDemand applies a router's demand for a team to the ledger and passes it to
// the dispatcher.
func (s *scheduler) receiveDemand(router fleet.NodeID, d *peerpb.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	team := fleet.TeamID(d.GetTeam())
	s.now = time.Now()
	s.ledger.SetWeight(team, s.weightOf(team))
	if d.GetWaiting() > 0 {
		// An idle account is lifted to the virtual time before the first grant is
		// charged to it.
		s.setWaiting(team, true)
	}
	s.stepLocked(dispatch.DemandReceived{
		Router:    router,
		Team:      team,
		Seq:       d.GetSeq(),
		Waiting:   int(d.GetWaiting()),
		OldestAge: time.Duration(d.GetOldestAgeMs()) * time.Millisecond,
	})
	s.setWaiting(team, s.dispatcher.Waiting(team))
}

func (s *scheduler) receiveDecline(router fleet.NodeID, d *peerpb.Decline) {
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

// admit charges a request that arrived and passes it to the dispatcher. It returns
// the request's identifier and the channel that receives the decision.
func (s *scheduler) admit(router fleet.NodeID, d *peerpb.Dispatch) (uint64, <-chan decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = time.Now()
	s.lastID++
	id := s.lastID
	ch := make(chan decision, 1)
	s.decisions[id] = ch
	team := fleet.TeamID(d.GetTeam())
	s.ledger.SetWeight(team, s.weightOf(team))
	s.ledger.Begin(id, team, 0, s.now)
	s.notifyAccountsChanged()
	s.stepLocked(dispatch.RequestArrived{
		Router:    router,
		GrantID:   d.GetGrantId(),
		RequestID: id,
		Solo:      d.GetSolo(),
	})
	return id, ch
}

// cancel ends a request that did not run and reverts its charge. The decision may
// have been sent in the meantime.
func (s *scheduler) cancel(id uint64, decided <-chan decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordUsage()
	select {
	case d := <-decided:
		if d.admitted {
			s.running--
		}
	default:
		delete(s.decisions, id)
	}
	s.ledger.Release(id, time.Now())
	s.stepLocked(dispatch.RequestFinished{RequestID: id})
}

// finish ends a request that ran and replaces its charge by its actual cost.
func (s *scheduler) finish(id uint64, cost float64, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.recordRunTime(elapsed)
	s.recordUsage()
	s.running--
	s.ledger.Settle(id, cost, now)
	s.notifyAccountsChanged()
	s.stepLocked(dispatch.RequestFinished{RequestID: id})
}

// accrue updates the charge of a running request to the cost so far.
func (s *scheduler) accrue(id uint64, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Accrue(id, cost)
}

// notifyAccountsChanged triggers a report of the accounts without waiting for the
// report interval.
func (s *scheduler) notifyAccountsChanged() {
	select {
	case s.accountsChanged <- struct{}{}:
	default:
	}
}

// takeReport returns the accounts that are due to be reported to their keepers. It
// returns false if there are none.
func (s *scheduler) takeReport() (fairness.Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.ledger.Report(now)
}

func (s *scheduler) applyUpdate(u fairness.Update) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ApplyUpdate(u)
}

func (s *scheduler) applyTotals(t fairness.Totals) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.ApplyTotals(t)
}

// configure sets the number of slots of the upstream and of all upstreams of the
// service, and the estimated cost of a request until an actual cost is known.
func (s *scheduler) configure(slots, serviceSlots int, defaultCost float64) {
	s.mu.Lock()
	s.serviceSlots = serviceSlots
	s.ledger.Configure(slots, defaultCost)
	s.mu.Unlock()
	if s.load().Slots != slots {
		s.step(dispatch.SetSlots{Slots: slots})
	}
}
