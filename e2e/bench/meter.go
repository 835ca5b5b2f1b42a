package bench

import (
	"context"
	"errors"
	"sync"
	"time"
)

// meter tracks the requests of each team's callers and the service they receive.
type meter struct {
	slots int

	mu          sync.Mutex
	teams       []teamMeter
	lastID      uint64
	outstanding int
	// accruedUntil is the time up to which usableSlotTime has been computed.
	accruedUntil time.Time
	// usableSlotTime is the integral over time of the slots that could have been
	// busy: the lesser of the fleet's slots and the outstanding requests.
	usableSlotTime time.Duration
	completed      int
	failed         int
	// failures counts the failed requests by reason.
	failures map[string]int
}

// teamMeter is the state of one team.
type teamMeter struct {
	// served is the total cost of the service that the callers have received.
	served float64
	// waiting holds the time at which each request without a first token was sent.
	waiting map[uint64]time.Time
	// longestFirstTokenWait is the longest time to a first token.
	longestFirstTokenWait time.Duration
}

func newMeter(teams, slots int) *meter {
	m := &meter{slots: slots, teams: make([]teamMeter, teams), accruedUntil: time.Now(), failures: map[string]int{}}
	for i := range m.teams {
		m.teams[i].waiting = map[uint64]time.Time{}
	}
	return m
}

// accrueLocked adds the time since accruedUntil to usableSlotTime.
func (m *meter) accrueLocked(now time.Time) {
	m.usableSlotTime += time.Duration(min(m.slots, m.outstanding)) * now.Sub(m.accruedUntil)
	m.accruedUntil = now
}

// requestSent records a request that a caller sends, and returns its id.
func (m *meter) requestSent(team int) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.accrueLocked(now)
	m.outstanding++
	m.lastID++
	m.teams[team].waiting[m.lastID] = now
	return m.lastID
}

// firstToken records the first token of a response, with the cost of the prompt.
func (m *meter) firstToken(team int, id uint64, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.teams[team]
	t.longestFirstTokenWait = max(t.longestFirstTokenWait, time.Since(t.waiting[id]))
	delete(t.waiting, id)
	t.served += cost
}

// addServed records the cost of service that a caller received.
func (m *meter) addServed(team int, cost float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.teams[team].served += cost
}

// requestEnded records the end of a request.
func (m *meter) requestEnded(team int, id uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accrueLocked(time.Now())
	m.outstanding--
	delete(m.teams[team].waiting, id)
	if errors.Is(err, context.Canceled) {
		// Cancelled at the end of the run, which is no failure.
		return
	}
	if err != nil {
		m.failed++
		m.failures[err.Error()]++
		return
	}
	m.completed++
}

// resetWaits clears the longest waits.
func (m *meter) resetWaits() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.teams {
		m.teams[i].longestFirstTokenWait = 0
	}
}

// setSlots changes the number of slots that could be busy.
func (m *meter) setSlots(slots int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accrueLocked(time.Now())
	m.slots = slots
}

// samples returns the current state of each team.
func (m *meter) samples() []TeamSample {
	m.mu.Lock()
	defer m.mu.Unlock()
	samples := make([]TeamSample, len(m.teams))
	for i, t := range m.teams {
		samples[i] = TeamSample{Served: t.served, Backlogged: len(t.waiting) > 0}
	}
	return samples
}

// totals holds the sums of a meter.
type totals struct {
	usableSlotTime time.Duration
	completed      int
	failed         int
}

func (m *meter) totals() totals {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accrueLocked(time.Now())
	return totals{usableSlotTime: m.usableSlotTime, completed: m.completed, failed: m.failed}
}

// longestFirstTokenWait returns the longest time to a first token, requests that
// still wait included.
func (m *meter) longestFirstTokenWait(team int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &m.teams[team]
	longest := t.longestFirstTokenWait
	for _, sent := range t.waiting {
		longest = max(longest, time.Since(sent))
	}
	return longest
}
