package fairness

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// regionTotal is the last total of a team received from another region.
type regionTotal struct {
	region   fleet.RegionID
	keeper   fleet.Incarnation
	seq      uint64
	total    float64
	lastSeen time.Duration
}

// regionVirtualTime is the virtual time last received from another region.
type regionVirtualTime struct {
	region      fleet.RegionID
	virtualTime float64
	lastSeen    time.Duration
}

// sentSum is the sum of a team that was last sent to the other regions.
type sentSum struct {
	total  float64
	lift   float64
	waived float64
	at     time.Duration
	known  bool
}

// RegionSums returns this region's totals of the teams that changed since the
// last call. Teams that were active or changed within the activity TTL are
// repeated every refresh interval, so that a few lost messages do no harm. The
// lift of a team that is still being restored is omitted: restoring lowers it, and
// other regions would echo the larger value back. The teams are ordered by
// identifier. It returns false if there are none.
func (k *Keeper) RegionSums(now time.Time) (RegionSums, bool) {
	at := now.Sub(k.start)
	k.sweep(at)
	s := RegionSums{
		Region:      k.region,
		Keeper:      k.incarnation,
		Seq:         k.sumsSeq + 1,
		VirtualTime: k.virtualTime,
	}
	for _, t := range k.teams {
		active := t.activeLocally.within(at, k.cfg.ActivityTTL)
		recent := active || at-t.lastChanged <= k.cfg.ActivityTTL
		if !t.reported || (!recent && !k.resend) {
			continue
		}
		sum := RegionSum{Team: t.id, Total: t.total, Waived: t.waived, Active: active}
		if !t.restoring(at) {
			sum.Lift = t.lift
		}
		if !k.resend && !t.sumDue(sum, at, k.cfg.RefreshInterval) {
			continue
		}
		t.lastSent = sentSum{total: sum.Total, lift: sum.Lift, waived: sum.Waived, at: at, known: true}
		s.Teams = append(s.Teams, sum)
	}
	k.resend = false
	if len(s.Teams) == 0 {
		return RegionSums{}, false
	}
	k.sumsSeq = s.Seq
	slices.SortFunc(s.Teams, func(a, b RegionSum) int { return cmp.Compare(a.Team, b.Team) })
	return s, true
}

// sumDue reports whether a sum has to be sent to the other regions.
func (t *teamState) sumDue(sum RegionSum, at, refresh time.Duration) bool {
	last := &t.lastSent
	if !last.known || sum.Lift != last.lift || sum.Waived != last.waived {
		return true
	}
	if t.isSignificant(sum.Total - last.total) {
		return true
	}
	return at-last.at >= refresh
}

// ResendAll makes the next RegionSums include all teams. Call it when another
// region becomes reachable again: teams that became idle during the partition
// would otherwise be omitted.
func (k *Keeper) ResendAll() {
	k.resend = true
}

// MergeRegion merges the totals of another region's keeper. The last totals of an
// unreachable region remain in effect.
func (k *Keeper) MergeRegion(s RegionSums, now time.Time) {
	if s.Region == k.region {
		return
	}
	at := now.Sub(k.start)
	k.sweep(at)
	k.mergeRegionVirtualTime(s.Region, s.VirtualTime, at)
	for _, sum := range s.Teams {
		t := k.team(sum.Team, at)
		if !t.mergeRegion(&s, sum, at, k.cfg.ActivityTTL) {
			continue
		}
		t.lastUsed = at
		if sum.Active {
			t.activeElsewhere.mark(at)
		}
	}
}

// mergeRegion replaces a region's total by a newer one. Among the totals of one
// keeper, the highest seq is the newest. The total of another keeper replaces it
// only if it is not smaller or if the former keeper has been silent for the TTL: a
// keeper that has just started may not have restored its totals yet. It returns
// false for an outdated total.
func (t *teamState) mergeRegion(s *RegionSums, sum RegionSum, at, ttl time.Duration) bool {
	t.waived = max(t.waived, sum.Waived)
	entry := regionTotal{region: s.Region, keeper: s.Keeper, seq: s.Seq, total: sum.Total, lastSeen: at}
	index := slices.IndexFunc(t.regions, func(r regionTotal) bool { return r.region == s.Region })
	if index < 0 {
		before := t.fleetTotal()
		t.regions = append(t.regions, entry)
		t.offsetLift(t.fleetTotal()-before, sum.Lift)
		return true
	}
	last := &t.regions[index]
	if last.keeper == s.Keeper && s.Seq <= last.seq {
		return false
	}
	t.lift = max(t.lift, sum.Lift)
	if last.keeper == s.Keeper || sum.Total >= last.total || at-last.lastSeen > ttl {
		*last = entry
	}
	return true
}

func (k *Keeper) mergeRegionVirtualTime(region fleet.RegionID, virtualTime float64, at time.Duration) {
	for i := range k.regions {
		known := &k.regions[i]
		if known.region == region {
			known.virtualTime = max(known.virtualTime, virtualTime)
			known.lastSeen = at
			return
		}
	}
	k.regions = append(k.regions, regionVirtualTime{region: region, virtualTime: virtualTime, lastSeen: at})
}

// leastRegionVirtualTime returns the least virtual time of the other regions
// seen within the activity TTL.
func (k *Keeper) leastRegionVirtualTime(at time.Duration) (least float64, ok bool) {
	for _, r := range k.regions {
		if at-r.lastSeen > k.cfg.ActivityTTL {
			continue
		}
		if !ok || r.virtualTime < least {
			least = r.virtualTime
			ok = true
		}
	}
	return least, ok
}
