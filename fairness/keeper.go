package fairness

import (
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// sweepsPerReporterTTL is how often expired state is swept within a reporter TTL.
const sweepsPerReporterTTL = 4

// Keeper holds the region's totals of the teams that are assigned to one
// router, for one service. It is not safe for concurrent use.
//
// Its virtual time is the least one of the reporters seen within the activity
// TTL and never decreases. The least virtual time of the other regions is used
// only while no reporter of the keeper's own region is fresh. The virtual times
// of regions that serve different teams may differ widely: the largest would
// lift a returning team above its local competitors and starve it, and the least
// would give it credit over them.
//
// During a partition between regions, a team that is backlogged in one region
// and becomes active in another is lifted there, because the keeper can't know
// that it was not idle. The lift remains after the partition, so the team loses
// the service that it was owed until then.
type Keeper struct {
	cfg         KeeperConfig
	region      fleet.RegionID
	incarnation fleet.Incarnation
	start       time.Time

	teams        map[fleet.TeamID]*teamState
	reporters    []*reporter
	reporterByID map[reporterID]*reporter
	nextReporter uint32
	regions      []regionVirtualTime

	virtualTime float64
	credit      creditFloor
	debt        debtCeiling
	sumsSeq     uint64
	resend      bool
	lastSweep   time.Duration
}

type reporterID struct {
	node        fleet.NodeID
	incarnation fleet.Incarnation
}

// reporter is one incarnation of a sidecar. Times are since the keeper's start.
type reporter struct {
	id          reporterID
	number      uint32
	virtualTime float64
	lastSeen    time.Duration
}

// NewKeeper returns an empty keeper of one region. The incarnation must differ
// from that of any other keeper.
func NewKeeper(cfg KeeperConfig, region fleet.RegionID, incarnation fleet.Incarnation, now time.Time) *Keeper {
	return &Keeper{
		cfg:          cfg.withDefaults(),
		region:       region,
		incarnation:  incarnation,
		start:        now,
		teams:        make(map[fleet.TeamID]*teamState),
		reporterByID: make(map[reporterID]*reporter),
	}
}

// VirtualTime returns the keeper's virtual time in normalized service.
func (k *Keeper) VirtualTime() float64 {
	return k.virtualTime
}

// Teams returns the number of teams that the keeper tracks.
func (k *Keeper) Teams() int {
	return len(k.teams)
}

// Account returns the fleet-wide account of a team in normalized service, and
// whether the team is known.
func (k *Keeper) Account(team fleet.TeamID) (float64, bool) {
	t, ok := k.teams[team]
	if !ok {
		return 0, false
	}
	return t.account(), true
}

// ApplyReport applies a sidecar's report and returns the answer to it. The answer
// omits entries older than what the sidecar already reported, and teams that the
// sidecar was sent within the answer interval; Updates covers their changes.
func (k *Keeper) ApplyReport(from fleet.NodeID, inc fleet.Incarnation, r Report, now time.Time) Totals {
	at := now.Sub(k.start)
	k.sweep(at)
	rep := k.reporter(reporterID{node: from, incarnation: inc}, at)
	rep.virtualTime = max(rep.virtualTime, r.VirtualTime)
	k.advanceVirtualTime(at)
	answer := Totals{
		ReportSeq:   r.Seq,
		Keeper:      k.incarnation,
		VirtualTime: k.virtualTime,
		Teams:       make([]TeamTotal, 0, len(r.Teams)),
	}
	for i := range r.Teams {
		entry := &r.Teams[i]
		t := k.team(entry.Team, at)
		delta, ok := t.apply(rep.number, r.Seq, entry, k.incarnation, at, k.cfg.ActivityTTL)
		if !ok {
			continue
		}
		if entry.Active {
			k.activate(t, entry, delta, at)
		}
		if t.needsAnswer(rep.number, entry, k.incarnation, at, k.cfg.AnswerInterval) {
			answer.Teams = append(answer.Teams, t.answer())
		}
	}
	return answer
}

// activate marks a team as active in this region, bounds its credit and its debt,
// and lifts it if it was inactive in the whole fleet. An echo that is not stale
// shows that the team was active at its reporter although this keeper received no
// report of it. The charge in the report was made after the team became active
// again, so it is added to the lift.
func (k *Keeper) activate(t *teamState, entry *TeamReport, delta float64, at time.Duration) {
	idle := !t.active(at, k.cfg.ActivityTTL)
	if idle && (entry.Echo.Keeper == 0 || entry.Echo.Stale) {
		t.raiseAccountTo(k.virtualTime + max(0, delta))
	}
	t.raiseAccountTo(k.credit.floor)
	if k.debt.known() {
		t.limitAccountTo(k.debt.ceiling)
	}
	t.activeLocally.mark(at)
}

// Retain removes the teams that are no longer assigned to this router. Call it
// when the region's set of live routers changes.
func (k *Keeper) Retain(assigned func(fleet.TeamID) bool) {
	for id := range k.teams {
		if !assigned(id) {
			delete(k.teams, id)
		}
	}
}

func (k *Keeper) team(id fleet.TeamID, at time.Duration) *teamState {
	t, ok := k.teams[id]
	if !ok {
		t = &teamState{id: id, lastUsed: at}
		k.teams[id] = t
	}
	return t
}

func (k *Keeper) reporter(id reporterID, at time.Duration) *reporter {
	r, ok := k.reporterByID[id]
	if !ok {
		r = &reporter{id: id, number: k.nextReporter}
		k.nextReporter++
		k.reporterByID[id] = r
		k.reporters = append(k.reporters, r)
	}
	r.lastSeen = at
	return r
}

func (k *Keeper) advanceVirtualTime(at time.Duration) {
	least, ok := k.leastReporterVirtualTime(at)
	others, othersOK := k.leastRegionVirtualTime(at)
	if !ok {
		least, ok = others, othersOK
	}
	if ok {
		k.virtualTime = max(k.virtualTime, least)
	}
	fleetVirtualTime := k.virtualTime
	if othersOK {
		fleetVirtualTime = min(fleetVirtualTime, others)
	}
	k.debt.advance(k.virtualTime, at, k.cfg.DebtWindow)
	k.credit.advance(fleetVirtualTime, at, k.cfg.CreditWindow)
}

func (k *Keeper) leastReporterVirtualTime(at time.Duration) (least float64, ok bool) {
	for _, r := range k.reporters {
		if r.virtualTime == 0 || at-r.lastSeen > k.cfg.ActivityTTL {
			continue
		}
		if !ok || r.virtualTime < least {
			least = r.virtualTime
			ok = true
		}
	}
	return least, ok
}

// sweep removes expired reporters with their counters, and idle teams.
func (k *Keeper) sweep(at time.Duration) {
	if at-k.lastSweep < k.cfg.ReporterTTL/sweepsPerReporterTTL {
		return
	}
	k.lastSweep = at
	k.reporters = slices.DeleteFunc(k.reporters, func(r *reporter) bool {
		expired := at-r.lastSeen > k.cfg.ReporterTTL
		if expired {
			delete(k.reporterByID, r.id)
		}
		return expired
	})
	for id, t := range k.teams {
		t.expireCounters(at, k.cfg.ReporterTTL)
		if at-t.lastUsed > k.cfg.TeamTTL {
			delete(k.teams, id)
		}
	}
}
