package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// health binds fleet.Health to the upstream and names its crashes.
type health struct {
	id      string
	client  *upstream.Client
	log     *zap.Logger
	changed func()

	mu      sync.Mutex
	machine *fleet.Health
	outage  outage
}

func newHealth(id string, client *upstream.Client, log *zap.Logger, changed func()) *health {
	return &health{
		id:      id,
		client:  client,
		log:     log,
		changed: changed,
		machine: fleet.NewHealth(fleet.HealthOptions{
			FailureThreshold: failureThreshold,
			MaxProbeInterval: maxProbeInterval,
		}),
	}
}

const (
	// failureThreshold is the count of consecutive failures that takes the
	// upstream down: a call that breaks off and a probe that fails after it.
	failureThreshold = 2
	// maxProbeInterval bounds the time between probes of an upstream that is
	// down, and so how late its return is seen.
	maxProbeInterval = time.Second
)

// run probes the upstream until ctx ends.
func (h *health) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.step(ctx, fleet.HealthTick{})
		h.mu.Lock()
		at, _ := h.machine.NextWake()
		h.mu.Unlock()
		node.Pause(ctx, time.Until(at))
	}
}

// step feeds one event to the machine and performs its actions.
func (h *health) step(ctx context.Context, ev fleet.HealthEvent) {
	h.mu.Lock()
	actions := h.machine.Step(time.Now(), ev)
	h.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.Probe:
			go h.probe(ctx, a.Seq)
		case fleet.BecameUp:
			h.log.Info("upstream is up")
			h.changed()
		case fleet.BecameDown:
			h.log.Warn("upstream is down")
			h.changed()
		}
	}
}

func (h *health) probe(ctx context.Context, seq uint64) {
	sent := time.Now()
	err := h.client.CheckHealth(ctx)
	if err == nil {
		h.answered(sent)
	}
	h.step(ctx, fleet.ProbeDone{Seq: seq, OK: err == nil})
}

// answered records the answer to a probe.
func (h *health) answered(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage.answered(sent)
}

func (h *health) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Up()
}

// observe records whether a request reached the upstream and was answered.
func (h *health) observe(ctx context.Context, ok bool) {
	h.step(ctx, fleet.RequestDone{OK: ok})
}

// crashOf tells whether a call that broke off was running when the upstream
// crashed: all such calls get the same identifier of the crash. It is empty if
// the upstream answers a probe, or crashed before the call started.
func (h *health) crashOf(ctx context.Context, started time.Time) string {
	h.observe(ctx, false)
	sent := h.brokeOff()
	if h.client.CheckHealth(ctx) == nil {
		h.answered(sent)
		return ""
	}
	h.observe(ctx, false)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outage.confirm(h.id, started)
}

// brokeOff records a call that broke off, and returns when.
func (h *health) brokeOff() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.outage.brokeOff(now)
	return now
}
