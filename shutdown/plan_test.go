package shutdown_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/shutdown"
)

var (
	start = time.Unix(1_000_000, 0)
	plan  = shutdown.Plan{
		EstimatesUntil: start.Add(6500 * time.Millisecond), AnswerBy: start.Add(7 * time.Second), End: start.Add(8 * time.Second),
	}
)

// Guards, under requests whose deadlines lie beyond the end of the process, against taking one
// that can't be answered and against refusing one that usually is.
func TestTakesWhatIsUsuallyAnsweredInTime(t *testing.T) {
	cases := map[string]struct {
		at, expires, usual time.Duration
		begun              bool
		want               bool
	}{
		"usually quick, at the beginning":         {expires: time.Minute, usual: time.Second, want: true},
		"usually quick, late":                     {at: 5900 * time.Millisecond, expires: time.Minute, usual: time.Second, want: true},
		"usually quick, too late":                 {at: 6100 * time.Millisecond, expires: time.Minute, usual: time.Second},
		"usually very quick, after the estimates": {at: 6500 * time.Millisecond, expires: time.Minute, usual: time.Millisecond},
		"early deadline, after the estimates":     {at: 6500 * time.Millisecond, expires: 7 * time.Second, usual: time.Minute, want: true},
		"usually long":                            {expires: time.Minute, usual: 8 * time.Second},
		"unknown, with a late deadline":           {expires: time.Minute},
		"unknown, with a deadline before the end": {expires: 7 * time.Second, want: true},
		"usually long, with an early deadline":    {expires: 2 * time.Second, usual: 8 * time.Second, want: true},
		"a stream that has begun":                 {expires: time.Minute, begun: true, want: true},
		"a stream that has begun, too late":       {at: 7 * time.Second, expires: time.Minute, begun: true},
		"after the last moment":                   {at: 7 * time.Second, expires: 7 * time.Second, usual: time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := shutdown.Request{Expires: start.Add(c.expires), Usual: c.usual, Begun: c.begun}
			NewWithT(t).Expect(plan.Takes(start.Add(c.at), r)).To(Equal(c.want))
		})
	}
}

// Guards against a plan that leaves no time for the last answers, or none but for them.
func TestLastAnswersOfAPlan(t *testing.T) {
	g := NewWithT(t)
	end := start.Add(8 * time.Second)
	g.Expect(shutdown.NewPlan(start, end, 2*time.Second)).To(Equal(shutdown.Plan{
		EstimatesUntil: start.Add(1500 * time.Millisecond), AnswerBy: end.Add(-200 * time.Millisecond), End: end,
	}))
	end = start.Add(400 * time.Millisecond)
	g.Expect(shutdown.NewPlan(start, end, 2*time.Second).AnswerBy).To(Equal(end.Add(-100 * time.Millisecond)))
}

func TestRetryAfterOfARefusal(t *testing.T) {
	g := NewWithT(t)
	g.Expect(plan.RetryAfter(start, true)).To(BeNumerically("<", 100*time.Millisecond))
	g.Expect(plan.RetryAfter(start, false)).To(Equal(8 * time.Second))
	g.Expect(plan.RetryAfter(start.Add(9*time.Second), false)).To(BeNumerically(">", 0))
}

// Guards, for any request and moment, against one that is taken although its answer may come
// later than it can be delivered.
func TestWhatIsTakenExpiresInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 20_000).Draw(t, name)) * time.Millisecond
		}
		now := start.Add(draw("now"))
		r := shutdown.Request{Expires: now.Add(draw("left")), Usual: draw("usual")}
		if !plan.Takes(now, r) {
			return
		}
		deadline := plan.Deadline(r.Expires)
		if deadline.After(plan.AnswerBy) || deadline.After(r.Expires) || deadline.Before(now) {
			t.Fatalf("deadline %v at %v", deadline.Sub(start), now.Sub(start))
		}
		if r.Expires.After(plan.AnswerBy) && now.Add(r.Usual).After(plan.AnswerBy) {
			t.Fatal("taken although it usually ends too late")
		}
		if r.Expires.After(plan.AnswerBy) && !now.Before(plan.EstimatesUntil) {
			t.Fatal("taken by an estimate although it is late")
		}
	})
}
