package fairness

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// typicalChargeSmoothing is the smoothing factor of a team's typical charge.
const typicalChargeSmoothing = 0.1

// maxMergedKeepers limits how many merged keepers are remembered for a team.
const maxMergedKeepers = 4

// teamState is a keeper's state of one team. Times are since the keeper's
// start.
type teamState struct {
	id fleet.TeamID
	// total is the region's total, in normalized service.
	total float64
	lift  float64
	// waived is deducted from the account; it never decreases.
	waived float64
	// restoredTotal is the part of total that was restored from echoes.
	restoredTotal float64
	// reported is set once a sidecar of this region has reported the team. Until
	// restoreUntil, echoes are taken to be those of the preceding keeper.
	reported      bool
	restoreUntil  time.Duration
	counters      []counter
	mergedKeepers []mergedKeeper
	// mergeCount is the number of keepers merged so far.
	mergeCount uint32

	regions []regionTotal
	// echoedOtherRegions is the sum of the other regions' totals according to the
	// echoes. It substitutes for sums that this keeper has not received.
	echoedOtherRegions float64

	activeLocally   activity
	activeElsewhere activity
	lastChanged     time.Duration
	lastUsed        time.Duration
	// typicalCharge is the moving average of the charges in one report.
	typicalCharge movingAverage
	// lastSent is the sum last sent to the other regions.
	lastSent sentSum
}

// counter is the cumulative charge of one reporter. Counters are ordered by
// reporter.
type counter struct {
	reporter uint32
	// mergeCount is the team's mergeCount when the counter was set.
	mergeCount uint32
	seq        uint64
	charged    float64
	// sentBase is the account last sent to the reporter, without its own charges.
	sentBase float64
	// answeredAt is when the reporter was last sent an answer with the team.
	answeredAt time.Duration
	lastSeen   time.Duration
}

// mergedKeeper is a keeper that temporarily took over the team and whose total
// was merged.
type mergedKeeper struct {
	incarnation fleet.Incarnation
	// number is the team's mergeCount after this merge.
	number uint32
}

// activity is the last time at which a team was active.
type activity struct {
	last  time.Duration
	known bool
}

func (a *activity) mark(at time.Duration) {
	a.last = at
	a.known = true
}

func (a *activity) within(at, ttl time.Duration) bool {
	return a.known && at-a.last <= ttl
}

func (t *teamState) active(at, ttl time.Duration) bool {
	return t.activeLocally.within(at, ttl) || t.activeElsewhere.within(at, ttl)
}

// apply adds the charges of a report's entry that the total does not include yet,
// and returns the added amount. It returns false for an outdated entry.
//
// The amount that is already included depends on the reporter:
//
//   - Known reporter: its last charge. This is exact even if it reported to
//     another keeper in the meantime.
//   - Known reporter whose echo names a keeper that was merged after its last
//     report: the charge in its echo, which that keeper's total includes.
//   - Unknown reporter with an echo: the charge in the echo. The total is first
//     raised to include the echoed total.
//   - Unknown reporter without an echo: nothing.
func (t *teamState) apply(
	reporter uint32, seq uint64, entry *TeamReport, self fleet.Incarnation, at, restoreTime time.Duration,
) (delta float64, ok bool) {
	index, known := t.findCounter(reporter)
	if known && seq < t.counters[index].seq {
		return 0, false
	}
	t.lastUsed = at
	if !t.reported {
		t.reported = true
		t.restoreUntil = at + restoreTime
	}
	included := entry.Echo.ChargedIncluded
	switch {
	case known && !t.mergedSince(entry.Echo.Keeper, t.counters[index].mergeCount):
		included = t.counters[index].charged
	case entry.Echo.Keeper == 0:
		included = 0
	case t.restoring(at):
		t.restore(&entry.Echo)
	case entry.Echo.Keeper != self:
		t.merge(&entry.Echo)
	}
	if entry.Echo.Keeper != self {
		t.lift = max(t.lift, entry.Echo.Lift)
		t.waived = max(t.waived, entry.Echo.Waived)
	}
	delta = entry.Charged - included
	if delta != 0 {
		t.total += delta
		t.lastChanged = at
	}
	if delta > 0 {
		t.typicalCharge.observe(delta, typicalChargeSmoothing)
	}
	c := counter{reporter: reporter, mergeCount: t.mergeCount, seq: seq, charged: entry.Charged, lastSeen: at}
	if known {
		c.sentBase = t.counters[index].sentBase
		c.answeredAt = t.counters[index].answeredAt
	}
	t.setCounter(index, known, c)
	return delta, true
}

// restore raises the restored part of a new total to the total of the preceding
// keeper. The echoes of all reporters refer to the same former total, and none
// includes what was charged here since, so the largest echo replaces the restored
// part and later charges are added to it. The result is exact except for charges
// that the preceding keeper counted without its answer reaching the reporter. A
// keeper that stops before it has answered each reporter may leave echoes of two
// former totals, of which the smaller is lost.
func (t *teamState) restore(echo *Echo) {
	t.addMissing(echo, max(0, echo.RegionTotal-t.restoredTotal))
	t.restoredTotal = max(t.restoredTotal, echo.RegionTotal)
}

// merge raises an existing total to the total of a keeper that temporarily took
// over the team, for example in a partitioned region. That total may include all
// of this one, so the larger one is used: of the charges that both keepers counted
// in the meantime for reporters unknown here, the smaller part is lost. An echo of
// this keeper is never merged, because that would restore estimates that have
// since been settled.
func (t *teamState) merge(echo *Echo) {
	t.addMissing(echo, max(0, echo.RegionTotal-t.total))
	if t.mergedSince(echo.Keeper, 0) {
		return
	}
	t.mergeCount++
	if len(t.mergedKeepers) == maxMergedKeepers {
		t.mergedKeepers = slices.Delete(t.mergedKeepers, 0, 1)
	}
	t.mergedKeepers = append(t.mergedKeepers, mergedKeeper{incarnation: echo.Keeper, number: t.mergeCount})
}

// addMissing adds a missing part to the total and adopts the echoed totals of the
// other regions. The lift may have been granted while these parts were missing,
// so it is reduced by them.
func (t *teamState) addMissing(echo *Echo, missing float64) {
	before := t.fleetTotal()
	t.total += missing
	t.echoedOtherRegions = max(t.echoedOtherRegions, echo.FleetTotal-echo.RegionTotal)
	t.offsetLift(t.fleetTotal()-before, echo.Lift)
}

// offsetLift lowers the lift by a part that was missing from the fleet total when
// the lift was granted, so that the account is unchanged. The lift stays at or
// above the one granted by another keeper.
func (t *teamState) offsetLift(missing, granted float64) {
	if missing > 0 {
		t.lift = max(0, t.lift-missing)
	}
	t.lift = max(t.lift, granted)
}

// mergedSince reports whether a keeper's total was merged after the first mergeCount
// merges.
func (t *teamState) mergedSince(keeper fleet.Incarnation, mergeCount uint32) bool {
	for _, m := range t.mergedKeepers {
		if m.incarnation == keeper {
			return m.number > mergeCount
		}
	}
	return false
}

// restoring reports whether the total may still lack charges that the preceding
// keeper counted.
func (t *teamState) restoring(at time.Duration) bool {
	return at <= t.restoreUntil
}

func (t *teamState) findCounter(reporter uint32) (index int, known bool) {
	return slices.BinarySearchFunc(t.counters, reporter, func(c counter, reporter uint32) int {
		return cmp.Compare(c.reporter, reporter)
	})
}

func (t *teamState) setCounter(index int, known bool, c counter) {
	if known {
		t.counters[index] = c
		return
	}
	t.counters = slices.Insert(t.counters, index, c)
}

// expireCounters removes the counters of reporters that have been silent for the
// TTL. Their charges stay in the total.
func (t *teamState) expireCounters(at, ttl time.Duration) {
	t.counters = slices.DeleteFunc(t.counters, func(c counter) bool {
		return at-c.lastSeen > ttl
	})
}

func (t *teamState) fleetTotal() float64 {
	others := 0.0
	for i := range t.regions {
		others += t.regions[i].total
	}
	return t.total + max(others, t.echoedOtherRegions)
}

// account returns the team's fleet-wide account in normalized service.
func (t *teamState) account() float64 {
	return t.fleetTotal() + t.lift - t.waived
}

// raiseAccountTo raises the lift so that the account is at least the given value.
func (t *teamState) raiseAccountTo(account float64) {
	t.lift = max(t.lift, account+t.waived-t.fleetTotal())
}

func (t *teamState) answer() TeamTotal {
	return TeamTotal{
		Team:        t.id,
		RegionTotal: t.total,
		Lift:        t.lift,
		Waived:      t.waived,
		FleetTotal:  t.fleetTotal(),
	}
}
