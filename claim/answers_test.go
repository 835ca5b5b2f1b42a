package claim

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
)

func TestAnswersWaitForTheSameAnswer(t *testing.T) {
	g := NewWithT(t)
	a := NewAnswers(AnswersConfig{Now: func() time.Time { return t0 }})
	g.Expect(a.Begin("a")).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, state, err := a.Wait(ctx, "a")
	g.Expect(err).To(MatchError(context.Canceled))
	g.Expect(state).To(Equal(AnswerRunning))

	waited := make(chan Answer, 1)
	go func() {
		answer, _, _ := a.Wait(t.Context(), "a")
		waited <- answer
	}()
	answer := Answer{Status: 201, Body: []byte("booked")}
	a.Finish("a", answer)
	g.Eventually(waited).Should(Receive(Equal(answer)))
	a.FinishUnknown("a")
	_, state = a.Lookup("a")
	g.Expect(state).To(Equal(AnswerKept))
}

func TestAnswersAreBounded(t *testing.T) {
	g := NewWithT(t)
	now := t0
	a := NewAnswers(AnswersConfig{
		MaxCount: 3, MaxBytes: 10, MaxBodyBytes: 8, TTL: time.Minute, Now: func() time.Time { return now },
	})
	state := func(id AttemptID) AnswerState { _, s := a.Lookup(id); return s }
	for _, id := range []AttemptID{"a", "b", "c"} {
		g.Expect(a.Begin(id)).To(Succeed())
	}
	g.Expect(a.Begin("d")).To(MatchError(ErrTooManyAnswers))
	a.Finish("a", Answer{Body: make([]byte, 6)})
	a.Finish("b", Answer{Body: make([]byte, 6)})
	a.Finish("c", Answer{Body: make([]byte, 9)})
	g.Expect([]AnswerState{state("a"), state("b"), state("c")}).To(Equal([]AnswerState{AnswerGone, AnswerKept, AnswerGone}))
	g.Expect(a.Begin("d")).To(Succeed())
	g.Expect(state("a")).To(Equal(AnswerUnknown))
	now = now.Add(time.Minute)
	g.Expect([]AnswerState{state("b"), state("d")}).To(Equal([]AnswerState{AnswerUnknown, AnswerRunning}))
	g.Expect(a.bytes).To(BeZero())
}

func TestDecide(t *testing.T) {
	self := Router{ID: "router", Incarnation: 2}
	record := func(id fleet.NodeID, inc fleet.Incarnation, state State) Record {
		r := testRecord("k", "a")
		r.Router, r.Incarnation, r.State = id, inc, state
		return r
	}
	own, other := record("router", 2, StateClaimed), record("other", 2, StateClaimed)
	earlier, released := record("router", 1, StateClaimed), record("other", 2, StateReleased)
	cases := []struct {
		name   string
		repeat Repeat
		want   Decision
	}{
		{"own and running", Repeat{Existing: own, Answer: AnswerRunning}, DecisionWait},
		{"own and kept", Repeat{Existing: own, Answer: AnswerKept}, DecisionReplay},
		{"own and gone", Repeat{Existing: own, Answer: AnswerGone}, DecisionAlreadyRun},
		{"own and not run", Repeat{Existing: own, Answer: AnswerNotRun}, DecisionRetryLater},
		{"own and unknown", Repeat{Existing: own}, DecisionUnknown},
		{"own earlier incarnation", Repeat{Existing: earlier, Answer: AnswerKept, HolderLive: true}, DecisionUnknown},
		{"other and live", Repeat{Existing: other, HolderLive: true}, DecisionAskRouter},
		{"other and lost", Repeat{Existing: other, Answer: AnswerKept}, DecisionUnknown},
		{"released", Repeat{Existing: released}, DecisionClaim},
		{"another request", Repeat{Existing: own, Digest: "other"}, DecisionKeyReused},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.repeat.Self = self
			if c.repeat.Digest == "" {
				c.repeat.Digest = "digest"
			}
			NewWithT(t).Expect(Decide(c.repeat)).To(Equal(c.want))
		})
	}
}
