package standin

import (
	"slices"
	"sync"
	"time"
)

// ColdCounters counts the requests that a server received while it was cold.
type ColdCounters struct {
	ColdReceived uint64 `json:"cold_received"`
	// ColdPeak is the maximum number within any second.
	ColdPeak int `json:"cold_peak"`
}

// ColdMeter measures the requests that a server receives while it is cold. The zero value
// is warm. It is safe for concurrent use.
type ColdMeter struct {
	mu    sync.Mutex
	until time.Time
	// recent holds the arrival times of the last second.
	recent   []time.Time
	counters ColdCounters
}

// Start begins a cold phase, which replaces the current one.
func (m *ColdMeter) Start(now time.Time, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.until = now.Add(d)
}

// Receive counts a request. It returns how much longer the server is cold, and the number
// of requests that it received while cold within the last second; both are zero if it is
// warm.
func (m *ColdMeter) Receive(now time.Time) (remaining time.Duration, withinSecond int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	remaining = m.until.Sub(now)
	if remaining <= 0 {
		return 0, 0
	}
	m.recent = slices.DeleteFunc(m.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	m.recent = append(m.recent, now)
	m.counters.ColdReceived++
	m.counters.ColdPeak = max(m.counters.ColdPeak, len(m.recent))
	return remaining, len(m.recent)
}

// Counters returns the current counters.
func (m *ColdMeter) Counters() ColdCounters {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counters
}
