package fairness

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// typicalChargeSmoothing is that of a team's typical charge.
const typicalChargeSmoothing = 0.1

// maxMergedKeepers bounds the keepers remembered as sources of a total.
const maxMergedKeepers = 4

// teamState is a keeper's state of one team. Times are since the keeper's
// start.
type teamState struct {
	id fleet.TeamID
	// total is the region's total, in normalized service.
	total float64
	lift  float64
	// waived is taken off the account; it never falls.
	waived float64
	// base is the part of total that was refilled by echoes.
	restoredTotal float64
	// reported is set once a sidecar of this region has reported the team. Until
	// restoreUntil, echoes are of the keeper that was there before.
	reported      bool
	restoreUntil  time.Duration
	counters      []counter
	mergedKeepers []mergedKeeper
	mergeCount    uint32

	regions []regionTotal
	// echoedOtherRegions is what the other regions' totals came to by the echoes. It
	// stands in for sums that this keeper has not received.
	echoedOtherRegions float64

	activeLocally   activity
	activeElsewhere activity
	lastChanged     time.Duration
	lastUsed        time.Duration
	// typical is the moving average of what is charged at once.
	typicalCharge movingAverage
	// sent is what the other regions were last sent.
	lastSent sentSum
}

// counter is what one reporter has charged. Counters are ordered by reporter.
type counter struct {
	reporter uint32
	// merges is the team's count of merged sources when the counter was set.
	mergeCount uint32
	seq        uint64
	charged    float64
	// told is what the reporter was last told of the account without its own
	// charges, and answered when it was last answered.
	sentBase   float64
	answeredAt time.Duration
	lastSeen   time.Duration
}

// source is a keeper that took over for a while and whose total was merged.
type mergedKeeper struct {
	incarnation fleet.Incarnation
	number      uint32
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

// apply adds what a report's entry charges beyond what is already included,
// and returns the added part. It reports false for an old entry.
//
// Four cases decide what is already included:
//
//   - A known reporter: its last charge. This is exact, also when it reported
//     to another keeper meanwhile.
//   - A known reporter whose echo names a source that was merged after its last
//     report: the charge in its echo, which the source's total includes.
//   - An unknown reporter with an echo: the charge in the echo. The total is
//     first raised by the echoed one.
//   - An unknown reporter without an echo: nothing.
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

// refill raises the base of a new total to the total of its former keeper. The
// echoes of all reporters tell of the same former total, and none includes what
// was charged here since, so the largest echo replaces the base and the charges
// since come on top. The result is exact but for charges that the former keeper
// counted without the answer reaching the reporter. A keeper that goes before it
// has answered each reporter may leave echoes of two former totals, of which the
// smaller is lost.
func (t *teamState) restore(echo *Echo) {
	t.addMissing(echo, max(0, echo.RegionTotal-t.restoredTotal))
	t.restoredTotal = max(t.restoredTotal, echo.RegionTotal)
}

// merge raises an old total to the total of a keeper that took over for a
// while, such as in a partitioned region. That total may include all of this
// one, so the larger of both counts: of what both keepers charged meanwhile to
// reporters that are not known here, the smaller part is lost. An echo of this
// keeper is never merged, for estimates that were settled must not come back.
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

// raise adds a missing part to the total and takes in the other regions' part.
// The lift may have been granted while they were missing, so it pays for them.
func (t *teamState) addMissing(echo *Echo, missing float64) {
	before := t.fleetTotal()
	t.total += missing
	t.echoedOtherRegions = max(t.echoedOtherRegions, echo.FleetTotal-echo.RegionTotal)
	t.offsetLift(t.fleetTotal()-before, echo.Lift)
}

// offsetLift lowers the lift by a part that was missing in the fleet total when
// the lift was granted, so that the account stays. The lift does not fall below
// one that another keeper granted.
func (t *teamState) offsetLift(missing, granted float64) {
	if missing > 0 {
		t.lift = max(0, t.lift-missing)
	}
	t.lift = max(t.lift, granted)
}

// mergedSince reports whether a keeper's total was merged after a count of
// merges.
func (t *teamState) mergedSince(keeper fleet.Incarnation, mergeCount uint32) bool {
	for _, m := range t.mergedKeepers {
		if m.incarnation == keeper {
			return m.number > mergeCount
		}
	}
	return false
}

// restoring reports whether the total may still lack what a former keeper knew.
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

// expireCounters forgets silent reporters. Their charges stay in the total.
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

// account returns the account in normalized service.
func (t *teamState) account() float64 {
	return t.fleetTotal() + t.lift - t.waived
}

// raiseAccountTo raises the lift so that the account is at least the given one.
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
