package admission

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/rolling"
)

// usageBuckets is the number of steps in which the window of accounts slides.
const usageBuckets = 16

// TeamUsage is a team's tokens within the window of accounts.
type TeamUsage struct {
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
}

// Usage is the tokens of all teams at one router.
type Usage map[fleet.TeamID]TeamUsage

// usageWindow adds up what teams asked for and were served in a sliding window.
type usageWindow struct{ window *rolling.Window[Usage] }

func newUsageWindow(window time.Duration) *usageWindow {
	return &usageWindow{window: rolling.New[Usage](max(window, usageBuckets*time.Millisecond), usageBuckets)}
}

func (a *usageWindow) add(now time.Time, team fleet.TeamID, asked, served float64) {
	bucket := a.window.Current(now)
	if *bucket == nil {
		*bucket = make(Usage)
	}
	usage := (*bucket)[team]
	usage.Requested += asked
	usage.Served += served
	(*bucket)[team] = usage
}

// refund takes back what was added as served at a moment.
func (a *usageWindow) refund(now, added time.Time, team fleet.TeamID, served float64) {
	bucket := a.window.At(now, added)
	if bucket == nil || *bucket == nil {
		return
	}
	usage := (*bucket)[team]
	usage.Served = max(usage.Served-served, 0)
	(*bucket)[team] = usage
}

func (a *usageWindow) sum(now time.Time) Usage {
	total := make(Usage)
	for _, bucket := range a.window.Buckets(now) {
		total.add(bucket)
	}
	return total
}

func (u Usage) add(other Usage) {
	for team, usage := range other {
		sum := u[team]
		sum.Requested += usage.Requested
		sum.Served += usage.Served
		u[team] = sum
	}
}

// maxMinShare returns the max-min share of the teams: with it as the most that a
// team gets, all together get what is served now. It returns false if every team
// gets what it asks for.
func (u Usage) maxMinShare() (float64, bool) {
	asked := make([]float64, 0, len(u))
	served, total := 0.0, 0.0
	for _, usage := range u {
		asked = append(asked, usage.Requested)
		served += usage.Served
		total += usage.Requested
	}
	if served >= total {
		return 0, false
	}
	slices.SortFunc(asked, cmp.Compare[float64])
	left := served
	for i, amount := range asked {
		level := left / float64(len(asked)-i)
		if amount >= level {
			return level, true
		}
		left -= amount
	}
	return 0, false
}

type peerUsage struct {
	usage Usage
	at    time.Time
}

// shareRatio returns what the team was served relative to its max-min share;
// zero without contention.
func (s *Scheduler) shareRatio(now time.Time, team fleet.TeamID) float64 {
	if age := now.Sub(s.shares.at); age < 0 || age >= shareRefreshInterval {
		total := s.usage(now)
		s.shares = shareSnapshot{at: now, total: total}
		s.shares.maxMin, s.shares.contended = total.maxMinShare()
	}
	if !s.shares.contended || s.shares.maxMin <= 0 {
		return 0
	}
	return s.shares.total[team].Served / s.shares.maxMin
}

// shareRefreshInterval is the time between two sums of all teams' accounts.
const shareRefreshInterval = 10 * time.Millisecond

// shareSnapshot is the teams' accounts over all routers at a moment.
type shareSnapshot struct {
	at        time.Time
	total     Usage
	maxMin    float64
	contended bool
}

// usage returns the teams' tokens over all routers.
func (s *Scheduler) usage(now time.Time) Usage {
	total := s.usageWindow.sum(now)
	for _, peer := range s.peerUsage {
		if now.Sub(peer.at) < s.options.PeerTTL {
			total.add(peer.usage)
		}
	}
	return total
}
