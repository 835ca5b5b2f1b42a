package warmup

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Cause is why an upstream is cold.
type Cause string

// Causes.
const (
	// Registered means that the upstream's registration states a cold time.
	Registered Cause = "registered"
	// Restarted means that a known upstream registered with a new start time.
	Restarted Cause = "restarted"
	// Ejected means that this router ejected the upstream, which may have restarted.
	Ejected Cause = "ejected"
	// Returned means that the evacuation of the upstream's failure domain ended.
	Returned Cause = "returned"
	// Reported means that a response of the upstream states a cold time.
	Reported Cause = "reported"
)

// Upstream identifies an incarnation of an upstream.
type Upstream struct {
	ID fleet.UpstreamID
	// Region is empty if unknown.
	Region fleet.RegionID
	// StartedUnixMs is the start time, which distinguishes restarts.
	StartedUnixMs int64
}

// Period is the time during which an upstream is cold, as known to this router.
type Period struct {
	Upstream Upstream
	Cause    Cause
	Until    time.Time
	// Sender is set if this router may send to the upstream meanwhile.
	Sender bool
}

// Tracker tracks what the upstreams of one service say of themselves that keeps this router from
// sending them requests: that they are cold, name a limit, ask for a pause or leave. It paces the
// requests to the cold and the limited ones. Invariants: while an upstream is cold or limited, two
// sends of this router to it are at least one interval of the plan apart; none is admitted while it
// is paused or leaves.
type Tracker struct {
	limits  Limits
	plan    Plan
	fleet   *Fleet
	periods map[fleet.UpstreamID]*period
	// limited holds the limits that upstreams name.
	limited map[fleet.UpstreamID]*limited
	// leaving holds the upstreams that have said that they leave, and pauses the pauses that
	// upstreams have asked for.
	leaving map[fleet.UpstreamID]*Leaving
	pauses  map[fleet.UpstreamID]*Pause
	// registered holds the start times of the registered upstreams.
	registered map[fleet.UpstreamID]int64
	// begun lists the periods that TakeBegun has not returned yet, and ended what TakeEnded has
	// not.
	begun []Period
	ended []Ended
}

type period struct {
	Period
	// lastSend is when this router last sent a request; zero if it has not.
	lastSend time.Time
}

// maxBegun bounds the number of periods that wait for TakeBegun.
const maxBegun = 1024

// NewTracker returns a tracker without cold upstreams.
func NewTracker(limits Limits) *Tracker {
	return &Tracker{
		limits: limits, plan: NewPlan(limits), periods: make(map[fleet.UpstreamID]*period),
		limited: make(map[fleet.UpstreamID]*limited), leaving: make(map[fleet.UpstreamID]*Leaving),
		pauses: make(map[fleet.UpstreamID]*Pause),
	}
}

// SetLimits replaces the limits. Cold periods that have begun keep their end.
func (t *Tracker) SetLimits(limits Limits) {
	t.limits = limits
	t.plan = NewPlan(limits)
	t.chooseSenders()
}

// SetFleet replaces the routers from which senders are chosen.
func (t *Tracker) SetFleet(f *Fleet) {
	t.fleet = f
	t.chooseSenders()
	for _, l := range t.limited {
		t.planLimit(l)
	}
}

func (t *Tracker) chooseSenders() {
	for _, p := range t.periods {
		p.Sender = t.isSender(p.Upstream)
	}
}

func (t *Tracker) isSender(u Upstream) bool {
	return t.fleet.isSender(u.ID, u.Region, t.plan.Senders)
}

// ColdStart returns how long an upstream is cold after a start.
func (t *Tracker) ColdStart() time.Duration { return t.limits.ColdStart }

// MarkCold records that an upstream is cold until a time. If it is already known to be
// cold, the later end counts, except that the first end known for a new incarnation
// replaces that of an earlier one. Ejected never replaces another cause of the same cold
// period, because an ejection alone may be due to this router's own network. Without a limit
// nothing is recorded.
func (t *Tracker) MarkCold(now time.Time, u Upstream, until time.Time, cause Cause) {
	if t.limits.Rate <= 0 || !until.After(now) {
		return
	}
	p := t.periods[u.ID]
	if p == nil {
		p = &period{}
		t.periods[u.ID] = p
	}
	restarted := p.Upstream.StartedUnixMs != u.StartedUnixMs
	begins := restarted || !now.Before(p.Until)
	if !begins && cause == Ejected {
		cause = p.Cause
	}
	if !begins && !until.After(p.Until) {
		if p.Cause == Ejected {
			p.Cause = cause
		}
		return
	}
	p.Period = Period{Upstream: u, Cause: cause, Until: until, Sender: t.isSender(u)}
	if begins && len(t.begun) < maxBegun {
		t.begun = append(t.begun, p.Period)
	}
}

// TakeBegun returns the periods that have begun since the previous call.
func (t *Tracker) TakeBegun() []Period {
	begun := t.begun
	t.begun = nil
	return begun
}

// active returns the period of an upstream that is cold now; nil if it is not cold.
func (t *Tracker) active(now time.Time, id fleet.UpstreamID) *period {
	p := t.periods[id]
	if p == nil || t.limits.Rate <= 0 || !now.Before(p.Until) {
		return nil
	}
	return p
}

// MaySend reports whether this router may send a request to an upstream now.
func (t *Tracker) MaySend(now time.Time, id fleet.UpstreamID) bool {
	p := t.active(now, id)
	return p == nil || p.Sender && !now.Before(t.nextSlot(p))
}

// nextSlot returns the earliest time of a sender's next send.
func (t *Tracker) nextSlot(p *period) time.Time {
	next := t.fleet.firstSlot(t.plan.Interval)
	if spaced := p.lastSend.Add(t.plan.Interval); spaced.After(next) {
		return spaced
	}
	return next
}

// NextSend returns the earliest time at which this router may send a request to an
// upstream: its next slot as a sender, or else the end of the cold period.
func (t *Tracker) NextSend(now time.Time, id fleet.UpstreamID) time.Time {
	p := t.active(now, id)
	if p == nil {
		return now
	}
	next := p.Until
	if slot := t.nextSlot(p); p.Sender && slot.Before(next) {
		next = slot
	}
	if next.Before(now) {
		return now
	}
	return next
}

// RecordSend takes this router's slot for a request to an upstream, if the upstream is
// cold, names a limit or was paused.
func (t *Tracker) RecordSend(now time.Time, id fleet.UpstreamID) {
	t.recordTrial(now, id)
	if l := t.activeLimit(id); l != nil {
		l.lastSend = now
	}
	if p := t.active(now, id); p != nil {
		p.lastSend = now
	}
}

// Period returns the cold period of an upstream and whether it is cold now.
func (t *Tracker) Period(now time.Time, id fleet.UpstreamID) (Period, bool) {
	p := t.active(now, id)
	if p == nil {
		return Period{}, false
	}
	return p.Period, true
}

// Count returns the number of upstreams that are cold now for a cause, of those that are
// registered. Periods outlast the registration because an upstream may register again.
func (t *Tracker) Count(now time.Time, cause Cause, registered func(fleet.UpstreamID) bool) int {
	count := 0
	for id, p := range t.periods {
		if p.Cause == cause && registered(id) && t.active(now, id) != nil {
			count++
		}
	}
	return count
}

// Expire forgets the periods that ended so long ago that they do not affect the pacing of
// a new one.
func (t *Tracker) Expire(now time.Time) {
	for id, p := range t.periods {
		if now.Sub(p.Until) > t.plan.Interval {
			delete(t.periods, id)
		}
	}
}
