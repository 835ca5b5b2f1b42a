package sidecar

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// health tracks the health of the upstream by probes and by the results of
// requests, and assigns identifiers to its crashes.
type health struct {
	id       string
	client   *upstream.Client
	log      *zap.Logger
	onChange func()

	mu      sync.Mutex
	tracker *fleet.Health
	outage  outage
}

func newHealth(id string, client *upstream.Client, log *zap.Logger, onChange func()) *health {
	return &health{
		id:       id,
		client:   client,
		log:      log,
		onChange: onChange,
		tracker: fleet.NewHealth(fleet.HealthOptions{
			FailureThreshold: failureThreshold,
			MaxProbeInterval: maxProbeInterval,
		}),
	}
}

const (
	// failureThreshold is the number of consecutive failures after which the
	// upstream is down: a call that fails midway and the failed probe that
	// follows it are enough.
	failureThreshold = 2
	// maxProbeInterval bounds the interval between probes of an upstream that is
	// down, and thus the delay until its recovery is detected.
	maxProbeInterval = time.Second
)

// run probes the upstream until ctx is canceled.
func (h *health) run(ctx context.Context) {
	for ctx.Err() == nil {
		h.step(ctx, fleet.HealthTick{})
		h.mu.Lock()
		at, _ := h.tracker.NextWake()
		h.mu.Unlock()
		node.Pause(ctx, time.Until(at))
	}
}

// step passes an event to the tracker and executes the resulting actions.
func (h *health) step(ctx context.Context, ev fleet.HealthEvent) {
	h.mu.Lock()
	actions := h.tracker.Step(time.Now(), ev)
	h.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case fleet.Probe:
			go h.probe(ctx, a.Seq)
		case fleet.BecameUp:
			h.log.Info("upstream is up")
			h.onChange()
		case fleet.BecameDown:
			h.log.Warn("upstream is down")
			h.onChange()
		}
	}
}

func (h *health) probe(ctx context.Context, seq uint64) {
	sent := time.Now()
	err := h.client.CheckHealth(ctx)
	if err == nil {
		h.recordProbeSuccess(sent)
	}
	h.step(ctx, fleet.ProbeDone{Seq: seq, OK: err == nil})
}

// recordProbeSuccess records the successful probe that was sent at the given time.
func (h *health) recordProbeSuccess(sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage.recordProbeSuccess(sent)
}

func (h *health) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tracker.Up()
}

// recordRequest records whether a request received a complete response.
func (h *health) recordRequest(ctx context.Context, ok bool) {
	h.step(ctx, fleet.RequestDone{OK: ok})
}

// crashID determines whether the upstream crashed while a call that failed with cause was
// running, and returns the crash's identifier, which is the same for all such calls. It is
// empty if the upstream runs or if it crashed before the call started.
func (h *health) crashID(ctx context.Context, started time.Time, cause error) string {
	h.recordRequest(ctx, false)
	if provesRunning(cause) {
		return ""
	}
	sent := h.recordFailedCall()
	err := h.client.CheckHealth(ctx)
	if err == nil {
		h.recordProbeSuccess(sent)
		return ""
	}
	h.recordRequest(ctx, false)
	if provesRunning(err) {
		return ""
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outage.confirmCrash(h.id, started)
}

// provesRunning reports whether a call failed because the upstream sent bytes that are no answer, which
// one that has crashed does not.
func provesRunning(err error) bool {
	return upstream.IsMalformed(err) || errors.Is(err, upstream.ErrUnsound)
}

// recordFailedCall records a call that failed midway and returns the current time.
func (h *health) recordFailedCall() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.outage.recordFailedCall(now)
	return now
}
