package router

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/platform"
)

// newTestRouter returns a router without peers and background goroutines.
func newTestRouter(t *testing.T, store platform.Store) *Router {
	r := New(t.Context(), config.RouterSettings{ID: "r"}, TLS{}, store, zap.NewNop())
	t.Cleanup(r.claims.Close)
	return r
}

// A request without a deadline must not wait longer than MaxWait if no sidecar is
// connected.
func TestRequestWithoutASidecarIsRefusedAfterMaxWait(t *testing.T) {
	g := NewWithT(t)
	r := newTestRouter(t, nil)
	r.queue.step(dispatch.UpdateLimits{Limits: dispatch.Limits{TeamWaiting: 10, RouterWaiting: 10, RouterBytes: 1 << 20}})
	req := &caller.Request{Service: "m", Team: "t", MaxWait: 20 * time.Millisecond}
	err := r.Serve(t.Context(), req, nil)
	var refusal *caller.Refusal
	g.Expect(errors.As(err, &refusal)).To(BeTrue())
	g.Expect(refusal.Code).To(Equal("deadline"))
	g.Expect(refusal.Outcome).To(Equal(caller.OutcomeNotRun))
}

func TestQueueDeadline(t *testing.T) {
	g := NewWithT(t)
	arrived := time.Unix(1000, 0)
	deadline := arrived.Add(time.Hour)
	g.Expect(queueDeadline(&caller.Request{MaxWait: time.Minute}, arrived)).To(Equal(arrived.Add(time.Minute)))
	g.Expect(queueDeadline(&caller.Request{MaxWait: time.Minute, Deadline: deadline}, arrived)).To(Equal(deadline))
	nonIdempotent := &caller.Request{MaxWait: time.Minute, Deadline: deadline, NonIdempotent: true}
	g.Expect(queueDeadline(nonIdempotent, arrived)).To(Equal(arrived.Add(time.Minute)))
}
