package follower_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"fulmarspindle.example/fulmarspindle/follower"
)

const (
	retryDelay = 300 * time.Millisecond
	batchPause = 200 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func newFollower() *follower.Follower {
	return follower.New(follower.Options{RetryDelay: retryDelay, BatchPause: batchPause})
}

// Guards against a failure of this process's own connection that is taken for an outage of
// the store, after which upstreams that were removed would stay usable.
func TestLostConnectionIsNoOutage(t *testing.T) {
	for name, result := range map[string]follower.Result{
		"connection lost": follower.ConnectionLost, "history gone": follower.HistoryGone,
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFollower()
			g.Expect(f.Next()).To(Equal(follower.Read))
			g.Expect(f.Record(start, follower.Answered, true)).To(Equal(batchPause))
			g.Expect(f.Next()).To(Equal(follower.Watch))
			g.Expect(f.Record(start, result, false)).To(BeZero(), "read at once")
			g.Expect(f.Next()).To(Equal(follower.Read))
			g.Expect(f.OutageEnd()).To(BeZero())
		})
	}
}

// Guards against an outage that is assumed because this process makes too many calls.
func TestRateLimitIsNoOutage(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	f.Record(start, follower.Answered, false)
	g.Expect(f.Record(start, follower.RateLimited, false)).To(Equal(retryDelay))
	g.Expect(f.Next()).To(Equal(follower.Read))
	g.Expect(f.OutageEnd()).To(BeZero())
}

// Guards against entries that lapsed while the store was unavailable and are dropped by the
// first list after it.
func TestUnavailableStoreIsAnOutageUntilItAnswers(t *testing.T) {
	g := NewWithT(t)
	f := newFollower()
	f.Record(start, follower.Answered, false)
	f.Record(start, follower.ConnectionLost, false)
	failed := start.Add(time.Second)
	g.Expect(f.Record(failed, follower.Unavailable, false)).To(Equal(retryDelay))
	g.Expect(f.OutageEnd()).To(Equal(failed))
	f.Record(failed.Add(time.Second), follower.ConnectionLost, false)
	g.Expect(f.OutageEnd()).To(Equal(failed), "a lost connection does not end the outage")
	f.Record(failed.Add(2*time.Second), follower.Answered, true)
	g.Expect(f.OutageEnd()).To(BeZero())
}

// Guards, for every interleaving of results and times, against a watch that follows a failed
// call and would miss changes, against an outage without a failed call and against calls without
// a pause to a store that fails each of them.
func TestEveryInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFollower()
		now := start
		lastFailure := time.Time{}
		unpaused := 0
		periodBegan := now
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "took")) * time.Millisecond)
			if rapid.Bool().Draw(t, "reread") {
				f.Reread()
				if f.Next() != follower.Read {
					t.Fatal("watches although the part is to be read")
				}
			}
			result := follower.Result(rapid.IntRange(int(follower.Answered), int(follower.Unavailable)).Draw(t, "result"))
			pause := f.Record(now, result, rapid.Bool().Draw(t, "changed"))
			switch result {
			case follower.Answered:
				lastFailure = time.Time{}
			case follower.Unavailable:
				lastFailure = now
			case follower.ConnectionLost, follower.HistoryGone, follower.RateLimited:
			}
			if (f.Next() == follower.Watch) != (result == follower.Answered) {
				t.Fatalf("next call %v after result %v", f.Next(), result)
			}
			if !f.OutageEnd().Equal(lastFailure) {
				t.Fatalf("outage until %v, last failure at %v", f.OutageEnd(), lastFailure)
			}
			if now.Sub(periodBegan) >= retryDelay {
				periodBegan, unpaused = now, 0
			}
			if result != follower.Answered && pause == 0 {
				unpaused++
			}
			if unpaused > 2 {
				t.Fatalf("%d failed calls without a pause within %v", unpaused, retryDelay)
			}
			now = now.Add(pause)
		}
	})
}
