package claim

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

func TestResponseCacheWait(t *testing.T) {
	g := NewWithT(t)
	c := NewResponseCache(ResponseCacheConfig{Now: func() time.Time { return t0 }})
	g.Expect(c.Begin("a")).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, state, err := c.Wait(ctx, "a")
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(state).To(Equal(ResponsePending))

	waited := make(chan Response, 1)
	go func() {
		response, _, _ := c.Wait(t.Context(), "a")
		waited <- response
	}()
	response := Response{Status: 201, Body: []byte("booked")}
	c.Finish("a", response)
	g.Eventually(waited).Should(Receive(Equal(response)))
	c.FinishUnknown("a")
	_, state = c.Lookup("a")
	g.Expect(state).To(Equal(ResponseCached))
}

func TestResponseCacheLimits(t *testing.T) {
	g := NewWithT(t)
	now := t0
	c := NewResponseCache(ResponseCacheConfig{
		MaxCount: 3, MaxBytes: 10, MaxBodyBytes: 8, TTL: time.Minute, Now: func() time.Time { return now },
	})
	state := func(id AttemptID) ResponseState { _, s := c.Lookup(id); return s }
	for _, id := range []AttemptID{"a", "b", "c"} {
		g.Expect(c.Begin(id)).To(Succeed())
	}
	g.Expect(c.Begin("d")).To(MatchError(ErrTooManyAttempts))
	c.Finish("a", Response{Body: make([]byte, 6)})
	c.Finish("b", Response{Body: make([]byte, 6)})
	c.Finish("c", Response{Body: make([]byte, 9)})
	g.Expect([]ResponseState{state("a"), state("b"), state("c")}).To(Equal([]ResponseState{ResponseDiscarded, ResponseCached, ResponseDiscarded}))
	g.Expect(c.Begin("d")).To(Succeed())
	g.Expect(state("a")).To(Equal(ResponseUnknown))
	now = now.Add(time.Minute)
	g.Expect([]ResponseState{state("b"), state("d")}).To(Equal([]ResponseState{ResponseUnknown, ResponsePending}))
	g.Expect(c.bytes).To(BeZero())
}

func TestDecide(t *testing.T) {
	self := RouterInstance{ID: "router", Incarnation: 2}
	record := func(id fleet.NodeID, inc fleet.Incarnation, state State) Record {
		r := testRecord("k", "a")
		r.Router, r.Incarnation, r.State = id, inc, state
		return r
	}
	own, other := record("router", 2, StateClaimed), record("other", 2, StateClaimed)
	earlier, released := record("router", 1, StateClaimed), record("other", 2, StateReleased)
	cases := []struct {
		name      string
		duplicate Duplicate
		want      Decision
	}{
		{"own and running", Duplicate{Existing: own, ResponseState: ResponsePending}, DecisionWait},
		{"own and cached", Duplicate{Existing: own, ResponseState: ResponseCached}, DecisionReplay},
		{"own and discarded", Duplicate{Existing: own, ResponseState: ResponseDiscarded}, DecisionAlreadyRun},
		{"own and not run", Duplicate{Existing: own, ResponseState: ResponseNotRun}, DecisionRetryLater},
		{"own and unknown", Duplicate{Existing: own}, DecisionOutcomeUnknown},
		{"own earlier incarnation", Duplicate{Existing: earlier, ResponseState: ResponseCached, HolderLive: true}, DecisionOutcomeUnknown},
		{"other and live", Duplicate{Existing: other, HolderLive: true}, DecisionQueryHolder},
		{"other and lost", Duplicate{Existing: other, ResponseState: ResponseCached}, DecisionOutcomeUnknown},
		{"released", Duplicate{Existing: released}, DecisionClaim},
		{"another request", Duplicate{Existing: own, Digest: "other"}, DecisionKeyReused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.duplicate.Self = self
			if c.duplicate.Digest == "" {
				c.duplicate.Digest = "digest"
			}
			NewWithT(t).Expect(Decide(c.duplicate)).To(Equal(c.want))
		})
	}
}
