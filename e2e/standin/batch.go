package standin

import (
	"context"
	"sync"
	"time"
)

// maxLoadSamples limits the history from which the delayed load report is served.
const maxLoadSamples = 4096

// EngineCounters counts the requests of an engine.
type EngineCounters struct {
	InstanceCounters
	Running   int    `json:"running"`
	Queued    int    `json:"queued"`
	Peak      int    `json:"peak"`
	Started   uint64 `json:"started"`
	Completed uint64 `json:"completed"`
	Cancelled uint64 `json:"cancelled"`
	Tokens    uint64 `json:"tokens"`
	// BusySlotMs is the time in use, summed over all slots.
	BusySlotMs float64 `json:"busy_slot_ms"`
}

// EngineLoad is the response to GET /load.
type EngineLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

type loadSample struct {
	at   time.Time
	load EngineLoad
}

// batch limits the number of concurrent requests to the number of slots; further
// requests wait. It records the counters and the load over time.
type batch struct {
	slots chan struct{}

	mu        sync.Mutex
	counters  EngineCounters
	accruedAt time.Time
	samples   []loadSample
}

func newBatch(slots int) *batch {
	return &batch{slots: make(chan struct{}, max(slots, 1)), accruedAt: time.Now()}
}

// acquire waits for a free slot or the end of ctx.
func (b *batch) acquire(ctx context.Context) error {
	b.update(func(c *EngineCounters) { c.Queued++ })
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		b.update(func(c *EngineCounters) {
			c.Queued--
			c.Cancelled++
		})
		return ctx.Err()
	}
	b.update(func(c *EngineCounters) {
		c.Queued--
		c.Running++
		c.Started++
		c.Peak = max(c.Peak, c.Running)
	})
	return nil
}

// release frees the slot and counts the request as completed or cancelled.
func (b *batch) release(finished bool) {
	b.update(func(c *EngineCounters) {
		c.Running--
		if finished {
			c.Completed++
		} else {
			c.Cancelled++
		}
	})
	<-b.slots
}

func (b *batch) countToken() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.Tokens++
}

func (b *batch) update(f func(*EngineCounters)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.accrueBusyTime(now)
	f(&b.counters)
	load := EngineLoad{Running: b.counters.Running, Queued: b.counters.Queued}
	b.samples = append(b.samples, loadSample{at: now, load: load})
	if len(b.samples) > maxLoadSamples {
		b.samples = append([]loadSample(nil), b.samples[maxLoadSamples/2:]...)
	}
}

func (b *batch) accrueBusyTime(now time.Time) {
	elapsed := now.Sub(b.accruedAt)
	b.counters.BusySlotMs += float64(b.counters.Running) * float64(elapsed) / float64(time.Millisecond)
	b.accruedAt = now
}

func (b *batch) snapshot() EngineCounters {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrueBusyTime(time.Now())
	return b.counters
}

// loadAt returns the load recorded at the given time.
func (b *batch) loadAt(at time.Time) EngineLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var load EngineLoad
	for _, sample := range b.samples {
		if sample.at.After(at) {
			break
		}
		load = sample.load
	}
	return load
}
