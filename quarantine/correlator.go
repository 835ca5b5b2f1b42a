package quarantine

import "time"

const (
	// correlationWindow is the maximum time between a broken response and the
	// detection of its upstream's crash.
	correlationWindow = 2 * time.Second
	// maxBrokenResponses bounds the broken responses remembered across all upstreams.
	maxBrokenResponses = 4096
)

// CrashCorrelator finds the requests R that were running when an upstream crashed. Since
// upstreams may also lose single responses without a crash, a broken response counts
// only if its upstream is found to be failing within correlationWindow of it.
type CrashCorrelator[R any] struct {
	broken []brokenResponse[R]
	// crashedAt holds the time at which each crash was detected, by crash ID.
	crashedAt map[string]time.Time
}

// brokenResponse records a response that ended before it was complete.
type brokenResponse[R any] struct {
	crashID string
	request R
	at      time.Time
}

// NewCrashCorrelator returns an empty CrashCorrelator.
func NewCrashCorrelator[R any]() *CrashCorrelator[R] {
	return &CrashCorrelator[R]{crashedAt: make(map[string]time.Time)}
}

// RecordBroken records the broken response of a request at an upstream whose crash, if
// it crashed, has the ID crashID. It reports whether that crash was detected within
// the last correlationWindow.
func (c *CrashCorrelator[R]) RecordBroken(now time.Time, crashID string, request R) bool {
	c.expire(now)
	if _, crashed := c.crashedAt[crashID]; crashed {
		return true
	}
	if len(c.broken) < maxBrokenResponses {
		c.broken = append(c.broken, brokenResponse[R]{crashID: crashID, request: request, at: now})
	}
	return false
}

// RecordCrash records that an upstream was found to be failing. It returns the requests
// whose responses from it broke within the last correlationWindow.
func (c *CrashCorrelator[R]) RecordCrash(now time.Time, crashID string) []R {
	c.expire(now)
	c.crashedAt[crashID] = now
	var requests []R
	kept := c.broken[:0]
	for _, b := range c.broken {
		if b.crashID == crashID {
			requests = append(requests, b.request)
			continue
		}
		kept = append(kept, b)
	}
	c.broken = kept
	return requests
}

// expire removes records older than correlationWindow.
func (c *CrashCorrelator[R]) expire(now time.Time) {
	expired := 0
	for expired < len(c.broken) && now.Sub(c.broken[expired].at) > correlationWindow {
		expired++
	}
	c.broken = c.broken[expired:]
	for id, at := range c.crashedAt {
		if now.Sub(at) > correlationWindow {
			delete(c.crashedAt, id)
		}
	}
}
