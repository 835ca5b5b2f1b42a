package sidecar

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/upstream"
)

// Health check intervals.
const (
	healthInterval     = time.Second
	downHealthInterval = 100 * time.Millisecond
	// failuresToDown is the count of consecutive failed checks, without an
	// answered request between them, after which the upstream is down.
	failuresToDown = 3
)

// health follows whether the upstream answers.
type health struct {
	id      string
	client  *upstream.Client
	log     *zap.Logger
	changed func(up bool)

	mu       sync.Mutex
	up       bool
	failures int
	// crashID names the crash that took the upstream down.
	crashID string
}

func newHealth(id string, client *upstream.Client, log *zap.Logger, changed func(up bool)) *health {
	return &health{id: id, client: client, log: log, changed: changed}
}

// run checks the upstream until ctx ends.
func (h *health) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := h.client.Healthy(ctx)
		if ctx.Err() != nil {
			return
		}
		h.observe(err)
		interval := healthInterval
		if !h.isUp() {
			interval = downHealthInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func (h *health) observe(err error) {
	if err == nil {
		h.set(true, nil)
		return
	}
	h.mu.Lock()
	h.failures++
	down := h.failures >= failuresToDown
	h.mu.Unlock()
	if down {
		h.set(false, err)
	}
}

func (h *health) isUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up
}

// set records a change and announces it.
func (h *health) set(up bool, cause error) {
	h.mu.Lock()
	if up {
		h.failures = 0
	}
	was := h.up
	h.up = up
	if was && !up {
		h.crashID = h.id + "/" + time.Now().UTC().Format(time.RFC3339Nano)
	}
	h.mu.Unlock()
	if was == up {
		return
	}
	h.log.Warn("upstream health changed", zap.Bool("up", up), zap.Error(cause))
	h.changed(up)
}

// succeeded records an answered request.
func (h *health) succeeded() {
	h.mu.Lock()
	h.failures = 0
	h.mu.Unlock()
}

// failed records that the upstream refused a connection. A call whose ctx
// ended may not have got as far as that.
func (h *health) failed(ctx context.Context, err error) {
	if ctx.Err() == nil {
		h.set(false, err)
	}
}

// broken records a call that broke off. If the upstream does not answer its
// health check either, it crashed: all calls that broke off with it get the
// same identifier. Otherwise the result is empty.
func (h *health) broken(cause error) string {
	ctx, cancel := context.WithTimeout(context.Background(), healthInterval)
	defer cancel()
	err := h.client.Healthy(ctx)
	h.mu.Lock()
	up := h.up
	h.mu.Unlock()
	if err == nil && up {
		return ""
	}
	if err != nil {
		h.set(false, cause)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashID
}
