package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"fulmarspindle.example/fulmarspindle/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newTestCommitter(t testing.TB, store platform.Store, cfg CommitterConfig) *Committer {
	cfg.Partitions = 1
	c := NewCommitter(store, cfg)
	t.Cleanup(c.Close)
	return c
}

// Two committers claim the same keys concurrently while every fifth write loses
// its response and segments are sealed: each key is granted to exactly one
// attempt.
func TestCommittersGrantClaimOnce(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	var n atomic.Int64
	store.putHook = func(apply func() (platform.Version, error)) (platform.Version, error) {
		v, err := apply()
		if n.Add(1)%5 == 0 {
			return 0, platform.ErrOutcomeUnknown
		}
		return v, err
	}
	committers := []*Committer{
		newTestCommitter(t, store, CommitterConfig{Partition: Config{SegmentBytes: 2000}}),
		newTestCommitter(t, store, CommitterConfig{Partition: Config{SegmentBytes: 2000}}),
	}
	const keys = 60
	var granted [keys]atomic.Int64
	var wg sync.WaitGroup
	for i := range keys {
		for o, c := range committers {
			wg.Go(func() {
				r := testRecord(fmt.Sprint("k", i), fmt.Sprint("a", o, "-", i))
				res, err := c.Claim(t.Context(), r)
				for errors.Is(err, ErrUnavailable) {
					r.Attempt += "x"
					res, err = c.Claim(t.Context(), r)
				}
				if err == nil && res.Status == StatusClaimed {
					granted[i].Add(1)
				}
			})
		}
	}
	wg.Wait()
	for i := range keys {
		g.Expect(granted[i].Load()).To(Equal(int64(1)), "key %d", i)
	}
}

func TestCommitterReleaseAndLookup(t *testing.T) {
	g := NewWithT(t)
	ctx := t.Context()
	c := newTestCommitter(t, newFakeStore(), CommitterConfig{})
	r := testRecord("k", "a")
	_, err := c.Lookup(ctx, r.Scope)
	g.Expect(err).To(MatchError(ErrNotClaimed))
	g.Expect(c.Claim(ctx, r)).To(Equal(Result{Status: StatusClaimed}))
	g.Expect(c.Claim(ctx, testRecord("k", "b"))).To(Equal(Result{Status: StatusAlreadyClaimed, Record: r}))
	other := testRecord("k", "c")
	other.Digest = "other"
	_, err = c.Claim(ctx, other)
	g.Expect(err).To(MatchError(ErrKeyReused))
	g.Expect(c.Release(ctx, r.Scope, "a")).To(Succeed())
	g.Expect(c.Claim(ctx, testRecord("k", "d"))).To(Equal(Result{Status: StatusClaimed}))
	g.Expect(c.Release(ctx, r.Scope, "a")).To(Succeed())
	g.Expect(c.Lookup(ctx, r.Scope)).To(Equal(testRecord("k", "d")))
	_, err = c.Claim(ctx, testRecord("", "e"))
	g.Expect(err).To(MatchError(ErrInvalidRecord))
}

func TestCommitterOutage(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	c := newTestCommitter(t, store, CommitterConfig{})
	g.Expect(c.Claim(t.Context(), testRecord("k", "a"))).To(Equal(Result{Status: StatusClaimed}))
	store.set(func(s *fakeStore) { s.unavailable = true })
	res, err := c.Claim(t.Context(), testRecord("k2", "b"))
	g.Expect(err).To(MatchError(ErrUnavailable))
	g.Expect(res.RetryAfter).To(BeNumerically(">", 0))
	g.Expect(c.Release(t.Context(), testRecord("k", "").Scope, "a")).To(MatchError(ErrUnavailable))
	store.set(func(s *fakeStore) { s.unavailable = false })
	g.Eventually(func() State {
		store.mu.Lock()
		defer store.mu.Unlock()
		r, _, _ := store.storedRecord(testRecord("k", "a").Scope)
		return r.State
	}).Should(Equal(StateReleased))
}

// A caller whose context ends leaves no claim behind, even if the claim is written
// afterwards.
func TestCommitterReleasesAbandonedClaim(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	entered, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	store.putHook = func(apply func() (platform.Version, error)) (platform.Version, error) {
		once.Do(func() { close(entered); <-proceed })
		return apply()
	}
	c := newTestCommitter(t, store, CommitterConfig{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-entered; cancel() }()
	_, err := c.Claim(ctx, testRecord("k", "a"))
	g.Expect(err).To(MatchError(context.Canceled))
	close(proceed)
	g.Eventually(func() State {
		store.mu.Lock()
		defer store.mu.Unlock()
		r, _, _ := store.storedRecord(testRecord("k", "a").Scope)
		return r.State
	}).Should(Equal(StateReleased))
}

func TestCommitterClose(t *testing.T) {
	g := NewWithT(t)
	store := newFakeStore()
	entered := make(chan struct{})
	// After a write of unknown outcome the head is read and written again, so the
	// hook may run more than once.
	enter := sync.OnceFunc(func() { close(entered) })
	store.putHook = func(func() (platform.Version, error)) (platform.Version, error) {
		enter()
		return 0, platform.ErrOutcomeUnknown
	}
	c := NewCommitter(store, CommitterConfig{Partitions: 1})
	go func() { <-entered; c.Close() }()
	_, err := c.Claim(t.Context(), testRecord("k", "a"))
	g.Expect(err).To(HaveOccurred())
	c.Close()
	_, err = c.Claim(t.Context(), testRecord("k", "b"))
	g.Expect(err).To(MatchError(ErrClosed))
}

// A new retention applies to the partitions in use and to those used later.
func TestCommitterSetRetention(t *testing.T) {
	g := NewWithT(t)
	c := newTestCommitter(t, newFakeStore(), CommitterConfig{})
	retention := func() time.Duration {
		d, err := c.driver(ScopeKey{})
		g.Expect(err).NotTo(HaveOccurred())
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.part.cfg.Retention
	}
	c.SetRetention(2 * time.Hour)
	g.Expect(retention()).To(Equal(2 * time.Hour))
	c.SetRetention(3 * time.Hour)
	c.SetRetention(0)
	g.Expect(retention()).To(Equal(3 * time.Hour))
}

// delayStore delays each Put by a fixed time.
type delayStore struct {
	*fakeStore
	delay time.Duration
}

func (s *delayStore) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	time.Sleep(s.delay)
	return s.fakeStore.Put(ctx, key, value, cond)
}

// BenchmarkCommitter measures group commit in one partition with a store that
// takes 3 ms per write.
func BenchmarkCommitter(b *testing.B) {
	for _, parallel := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("callers=", parallel), func(b *testing.B) {
			store := &delayStore{fakeStore: newFakeStore(), delay: 3 * time.Millisecond}
			c := NewCommitter(store, CommitterConfig{Partitions: 1})
			defer c.Close()
			var n atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range parallel {
				wg.Go(func() {
					for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
						r := newBenchmarkRecord(i)
						if res, err := c.Claim(b.Context(), r); err != nil || res.Status != StatusClaimed {
							b.Errorf("claim: %v %v", res, err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/float64(store.puts), "records/write")
		})
	}
}

// BenchmarkRecordBytes measures the encoded size of a record with identifiers
// of typical length, and the cost of encoding a head with 200 records,
// about a full segment.
func BenchmarkRecordBytes(b *testing.B) {
	var head Head
	for i := range 200 {
		head.Records = append(head.Records, newBenchmarkRecord(int64(i)))
	}
	var value []byte
	for b.Loop() {
		value, _ = EncodeHead(head)
	}
	b.ReportMetric(float64(len(value))/float64(len(head.Records)), "bytes/record")
	b.ReportMetric(float64(head.size())/float64(len(head.Records)), "estimated-bytes/record")
}

func newBenchmarkRecord(i int64) Record {
	return Record{
		Scope:   ScopeKey{Team: "greenhouse-westland", Service: "booking", Key: fmt.Sprintf("7c9e6679-7425-40de-944b-%012d", i)},
		Attempt: AttemptID(fmt.Sprintf("0b8f1c52-1d2e-4f6a-9c3b-%012d", i)),
		Router:  "router-randstad-1", Incarnation: 1790000000000000000, ClaimedAt: t0,
		Digest: RequestDigest("POST", "/services/booking/orders", []byte(fmt.Sprint(i))),
	}
}
