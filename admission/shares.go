package admission

import (
	"cmp"
	"slices"
	"time"

	"fulmarspindle.example/fulmarspindle/rolling"
)

// usageBuckets is the number of buckets of the sliding usage window.
const usageBuckets = 16

// TeamUsage is the number of tokens that a team requested and was served within the
// usage window.
type TeamUsage struct {
	Requested float64 `json:"asked"`
	Served    float64 `json:"served"`
}

// Usage maps accounts to their token usage.
type Usage map[Account]TeamUsage

// usageWindow sums the tokens requested by and served to each account over a sliding
// window.
type usageWindow struct{ window *rolling.Window[Usage] }

func newUsageWindow(window time.Duration) *usageWindow {
	return &usageWindow{window: rolling.New[Usage](max(window, usageBuckets*time.Millisecond), usageBuckets)}
}

func (w *usageWindow) add(now time.Time, account Account, requested, served float64) {
	bucket := w.window.Current(now)
	if *bucket == nil {
		*bucket = make(Usage)
	}
	usage := (*bucket)[account]
	usage.Requested += requested
	usage.Served += served
	(*bucket)[account] = usage
}

// refund subtracts served tokens from the bucket of the time at which they were added.
// It does nothing if that bucket has left the window.
func (w *usageWindow) refund(now, added time.Time, account Account, served float64) {
	bucket := w.window.At(now, added)
	if bucket == nil || *bucket == nil {
		return
	}
	usage := (*bucket)[account]
	usage.Served = max(usage.Served-served, 0)
	(*bucket)[account] = usage
}

func (w *usageWindow) sum(now time.Time) Usage {
	total := make(Usage)
	for _, bucket := range w.window.Buckets(now) {
		total.add(bucket)
	}
	return total
}

func (u Usage) add(other Usage) {
	for account, usage := range other {
		sum := u[account]
		sum.Requested += usage.Requested
		sum.Served += usage.Served
		u[account] = sum
	}
}

// maxMinShare returns the max-min fair share: the per-team cap at which the total served
// equals the tokens served now. It returns false if all requested tokens are served.
func (u Usage) maxMinShare() (float64, bool) {
	requested := make([]float64, 0, len(u))
	served, total := 0.0, 0.0
	for _, usage := range u {
		requested = append(requested, usage.Requested)
		served += usage.Served
		total += usage.Requested
	}
	if served >= total {
		return 0, false
	}
	slices.SortFunc(requested, cmp.Compare[float64])
	remaining := served
	for i, amount := range requested {
		share := remaining / float64(len(requested)-i)
		if amount >= share {
			return share, true
		}
		remaining -= amount
	}
	return 0, false
}

// peerUsage is the usage that another router reported.
type peerUsage struct {
	usage Usage
	at    time.Time
}

// shareRatio returns the tokens served to the team of a request relative to the max-min
// fair share. It is zero without contention.
func (s *Scheduler) shareRatio(now time.Time, r Request) float64 {
	if age := now.Sub(s.shares.at); age < 0 || age >= shareRefreshInterval {
		s.shares = newShareSnapshot(now, s.usage(now))
	}
	return s.shares.ratio(r)
}

// shareRefreshInterval is the interval at which the usage of all teams is summed.
const shareRefreshInterval = 10 * time.Millisecond

// usage returns the usage of all accounts summed over all routers whose reports have not expired.
func (s *Scheduler) usage(now time.Time) Usage {
	total := s.usageWindow.sum(now)
	for _, peer := range s.peerUsage {
		if now.Sub(peer.at) < s.options.PeerTTL {
			total.add(peer.usage)
		}
	}
	return total
}
