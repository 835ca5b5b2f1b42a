// Package follower decides how a process keeps its copy of a part of the store up to date:
// when it reads the whole part, when it watches for changes, and what a failed call means.
// It is a state machine without I/O or a clock.
package follower

import "time"

// Call is a kind of call to the store.
type Call int

const (
	// Read reads the whole part.
	Read Call = iota
	// Watch waits for changes after the last answer.
	Watch
)

// Result is what a call showed of the store.
type Result int

const (
	// Answered reports that the store served the call.
	Answered Result = iota
	// ConnectionLost reports that a connection which may have been open for long failed or
	// went silent. It does not show whether the store is available.
	ConnectionLost
	// HistoryGone reports that the store no longer keeps the changes to be watched.
	HistoryGone
	// RateLimited reports that the store serves others and refused the call. Those who renew
	// their objects are not affected.
	RateLimited
	// Unavailable reports that the store could not be reached or did not serve the call.
	Unavailable
)

// Options configure a Follower.
type Options struct {
	// RetryDelay is the pause after a call that the store did not serve.
	RetryDelay time.Duration
	// BatchPause is the pause after an answer with changes, so that the changes that follow
	// soon after arrive in one answer.
	BatchPause time.Duration
}

// Follower follows a part of the store. It is not safe for concurrent use.
type Follower struct {
	options Options
	// watchable is set while the changes since the last answer can be watched.
	watchable bool
	// rereadAt is when a read was last due without a pause; zero if none was.
	rereadAt time.Time
	// outageEnd is when a call last found the store unavailable; zero if the store has
	// answered since.
	outageEnd time.Time
}

// New returns a Follower that reads the whole part first.
func New(options Options) *Follower { return &Follower{options: options} }

// Next returns the call to make.
func (f *Follower) Next() Call {
	if f.watchable {
		return Watch
	}
	return Read
}

// Reread makes the next call read the whole part.
func (f *Follower) Reread() { f.watchable = false }

// OutageEnd returns when a call last found the store unavailable, zero if the store has
// answered since. What a read does not contain may then have lapsed because its owner could
// not renew it. A failure of this process's own connections is no outage.
func (f *Follower) OutageEnd() time.Time { return f.outageEnd }

// Record records the result of the call that Next returned, and whether it brought changes.
// It returns the pause before the next call.
func (f *Follower) Record(now time.Time, result Result, changed bool) time.Duration {
	f.watchable = result == Answered
	switch result {
	case Answered:
		f.outageEnd = time.Time{}
		if changed {
			return f.options.BatchPause
		}
		return 0
	case ConnectionLost, HistoryGone:
		return f.reread(now)
	case RateLimited:
		return f.options.RetryDelay
	default:
		f.outageEnd = now
		return f.options.RetryDelay
	}
}

// reread returns no pause, but at most once per RetryDelay, so that a store which answers
// reads and breaks off all watches is not called without end.
func (f *Follower) reread(now time.Time) time.Duration {
	if !f.rereadAt.IsZero() && now.Sub(f.rereadAt) < f.options.RetryDelay {
		return f.options.RetryDelay
	}
	f.rereadAt = now
	return 0
}
