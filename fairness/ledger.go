package fairness

import (
	"math"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

const defaultWeight = 1.0

// Ledger is one sidecar's view of the accounts of all teams for its service. It is
// not safe for concurrent use.
type Ledger struct {
	cfg      LedgerConfig
	accounts map[fleet.TeamID]*account
	requests map[uint64]request
	costs    movingAverage

	virtualTime float64
	// maxServedBalance is the largest account at the end of a request.
	maxServedBalance float64
	waitingTeams     int
	// synced is set once a keeper has answered. Until then the virtual time is
	// not reported, because that of a new ledger is meaningless.
	synced bool

	seq uint64
	// lastReportTeams is the number of teams in the last report. It sizes the next
	// one.
	lastReportTeams int
	// live holds the accounts that may have to be reported, in the order in
	// which they were added. idle holds the others, oldest first.
	live []*account
	idle []idleEntry
}

// account is the state of one team. Its balance is base + charged.
type account struct {
	team   fleet.TeamID
	weight float64
	costs  movingAverage
	// charged is the cumulative normalized service charged by this ledger.
	charged float64
	// base is the last known account without the charges of this ledger that it
	// includes. It is provisional until a keeper has answered.
	base     float64
	inFlight int

	waiting     bool
	lastWaiting time.Time
	// burstLeft is the number of further requests that are exempt from charging
	// until burstUntil.
	burstLeft  int
	burstUntil time.Time
	// activatedSeq is the first report that includes the last activation. Answers
	// to earlier reports do not include its lift.
	activatedSeq uint64

	changed    bool
	inLive     bool
	reportedAt time.Time
	lastUsed   time.Time
	// idleSince is when the account was last moved from live to idle.
	idleSince time.Time
	echo      Echo
	sent      sentReports
}

// request is one request in flight.
type request struct {
	account *account
	// weight is the team's weight when the request began. It is infinite for a
	// request that is not charged.
	weight float64
	// charged is the cost charged so far in cost units.
	charged float64
}

type idleEntry struct {
	account *account
	since   time.Time
}

// NewLedger returns an empty ledger.
func NewLedger(cfg LedgerConfig) *Ledger {
	return &Ledger{
		cfg:      cfg.withDefaults(),
		accounts: make(map[fleet.TeamID]*account),
		requests: make(map[uint64]request),
	}
}

// Account returns the best estimate of a team's fleet-wide account in normalized
// service. That of an unknown team is the virtual time.
func (l *Ledger) Account(team fleet.TeamID) float64 {
	a, ok := l.accounts[team]
	if !ok {
		return l.virtualTime
	}
	return a.balance()
}

// MeanCost returns the moving average of the service's costs in cost units.
func (l *Ledger) MeanCost() float64 {
	if !l.costs.known {
		return l.cfg.Estimate
	}
	return l.costs.value
}

// VirtualTime returns the ledger's virtual time in normalized service. It never
// decreases.
func (l *Ledger) VirtualTime() float64 {
	return l.virtualTime
}

// Teams returns the number of teams that the ledger tracks.
func (l *Ledger) Teams() int {
	return len(l.accounts)
}

// Configure sets the number of the upstream's slots, and the cost charged at Begin
// until an actual cost of the service has been observed, in the service's cost
// units.
func (l *Ledger) Configure(slots int, estimate float64) {
	l.cfg.Slots = slots
	if validCost(estimate) && estimate > 0 {
		l.cfg.Estimate = estimate
	}
}

// SetWeight sets the weight of a team for requests that begin later. A weight
// that is not positive and finite is ignored. The weight is lost when the team is
// removed.
func (l *Ledger) SetWeight(team fleet.TeamID, weight float64) {
	if !(weight > 0) || math.IsInf(weight, 1) {
		return
	}
	l.accountFor(team).weight = weight
}

// SetWaiting sets whether a team has requests waiting for this sidecar. A team that
// was idle is lifted to the virtual time until its keeper has answered.
func (l *Ledger) SetWaiting(team fleet.TeamID, waiting bool, now time.Time) {
	a, known := l.accounts[team]
	if !known && !waiting {
		return
	}
	if !known {
		a = l.accountFor(team)
	}
	if a.waiting == waiting {
		return
	}
	if waiting {
		l.activate(a, now)
		return
	}
	a.waiting = false
	a.lastWaiting = now
	l.waitingTeams--
	l.advanceWhenIdle()
}

// activate marks a team as waiting and lifts it if it was idle.
func (l *Ledger) activate(a *account, now time.Time) {
	if l.wasIdle(a, now) {
		if l.waitingTeams == 0 {
			a.burstLeft = burstPerSlot * l.cfg.Slots
			a.burstUntil = now.Add(l.cfg.BurstWindow)
		}
		a.base += max(0, l.virtualTime-a.balance())
		a.activatedSeq = l.seq + 1
		a.echo.Stale = true
	}
	a.waiting = true
	a.changed = true
	l.waitingTeams++
	l.markLive(a)
}

func (l *Ledger) wasIdle(a *account, now time.Time) bool {
	return a.lastWaiting.IsZero() || now.Sub(a.lastWaiting) > l.cfg.ActivityTTL
}

// Begin charges the estimated cost of a request that is about to be granted. The
// hint is the caller's own estimate in cost units, 0 if there is none; its weight
// is small. An identifier that is already in flight is ignored.
func (l *Ledger) Begin(id uint64, team fleet.TeamID, hint float64, now time.Time) {
	if _, exists := l.requests[id]; exists {
		return
	}
	a := l.accountFor(team)
	a.lastUsed = now
	l.virtualTime = max(l.virtualTime, l.startTag(a))
	cost := l.estimate(a, hint)
	weight := a.weight
	if a.consumeBurst(now) {
		weight = math.Inf(1)
	}
	l.requests[id] = request{account: a, weight: weight, charged: cost}
	a.inFlight++
	l.charge(a, cost/weight)
}

// burstPerSlot covers both the reservation of a slot and the request that then
// occupies it.
const burstPerSlot = 2

// consumeBurst reports whether a request is exempt from charging because its team
// was idle and became active at a sidecar where no other team waited. The slots
// that such a burst occupies would otherwise be unused, so it is no debt to teams
// that arrive shortly afterwards. Start-time fair queueing has the same effect, as
// its virtual time advances with the burst; here the sidecars of the other teams
// would learn of that advance too late.
func (a *account) consumeBurst(now time.Time) bool {
	if a.burstLeft == 0 || now.After(a.burstUntil) {
		return false
	}
	a.burstLeft--
	return true
}

// startTag returns the start tag of a request of a team: its account, or the least
// account of the waiting teams if that is smaller. A sidecar does not always grant
// to the least account, and a newly active team must not be lifted above those that
// are already waiting.
func (l *Ledger) startTag(a *account) float64 {
	tag := a.balance()
	for _, other := range l.live {
		if other.waiting {
			tag = min(tag, other.balance())
		}
	}
	return tag
}

// Accrue updates the cost that a running request has incurred so far, in cost
// units. The charge becomes the larger of the estimate and that cost. An unknown
// identifier is ignored.
func (l *Ledger) Accrue(id uint64, cost float64) {
	r, ok := l.requests[id]
	if !ok || !validCost(cost) || cost <= r.charged {
		return
	}
	l.charge(r.account, (cost-r.charged)/r.weight)
	r.charged = cost
	l.requests[id] = r
}

// Settle replaces the charge of a request by its actual cost in cost units. It is
// called when the request ends or is canceled, and when the upstream crashed. An
// unknown identifier is ignored; a cost that is negative or not finite leaves the
// charge unchanged.
func (l *Ledger) Settle(id uint64, cost float64, now time.Time) {
	r, ok := l.requests[id]
	if !ok {
		return
	}
	if !validCost(cost) {
		cost = r.charged
	}
	r.account.costs.observe(cost, teamSmoothing)
	l.costs.observe(cost, serviceSmoothing)
	l.finish(id, r, cost, now)
	l.maxServedBalance = max(l.maxServedBalance, r.account.balance())
	l.advanceWhenIdle()
}

// Release reverts the charge of a request that did not run, such as a declined
// grant. An unknown identifier is ignored.
func (l *Ledger) Release(id uint64, now time.Time) {
	r, ok := l.requests[id]
	if !ok {
		return
	}
	if math.IsInf(r.weight, 1) {
		r.account.burstLeft++
	}
	l.finish(id, r, 0, now)
	l.advanceWhenIdle()
}

func (l *Ledger) finish(id uint64, r request, cost float64, now time.Time) {
	delete(l.requests, id)
	a := r.account
	a.inFlight--
	a.lastUsed = now
	l.charge(a, (cost-r.charged)/r.weight)
}

// advanceWhenIdle raises the virtual time to the largest account served once no
// request waits or runs, so that a new team gets no credit over one that was
// served alone.
func (l *Ledger) advanceWhenIdle() {
	if l.waitingTeams == 0 && len(l.requests) == 0 {
		l.virtualTime = max(l.virtualTime, l.maxServedBalance)
	}
}

func (l *Ledger) charge(a *account, normalized float64) {
	a.charged += normalized
	a.changed = true
	l.markLive(a)
}

func (l *Ledger) accountFor(team fleet.TeamID) *account {
	a, ok := l.accounts[team]
	if ok {
		return a
	}
	a = &account{team: team, weight: defaultWeight, base: l.virtualTime}
	l.accounts[team] = a
	l.markLive(a)
	return a
}

func (l *Ledger) markLive(a *account) {
	if a.inLive {
		return
	}
	a.inLive = true
	l.live = append(l.live, a)
}

func (a *account) balance() float64 {
	return a.base + a.charged
}
