package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fulmarspindle.example/fulmarspindle/platform"
)

// countingStore delays each Get and Put by a fixed time and counts the calls and
// the bytes of the values.
type countingStore struct {
	*fakeStore
	delay                time.Duration
	reads, writes, bytes atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	<-time.After(s.delay)
	s.reads.Add(1)
	obj, err := s.fakeStore.Get(ctx, key)
	s.bytes.Add(int64(len(obj.Value)))
	return obj, err
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	<-time.After(s.delay)
	s.writes.Add(1)
	s.bytes.Add(int64(len(value)))
	return s.fakeStore.Put(ctx, key, value, cond)
}

// BenchmarkManyRouters measures the store calls, bytes and latency per claim for
// claims that arrive at a fixed rate and are spread over many routers, with a
// store that takes 3 ms per call.
func BenchmarkManyRouters(b *testing.B) {
	for _, c := range []struct{ routers, partitions, perSecond int }{
		{1, 8, 160}, {3, 8, 160}, {410, 8, 20}, {410, 8, 160}, {410, 64, 160}, {410, 256, 160}, {8, 8, 160},
	} {
		b.Run(fmt.Sprintf("routers=%d/partitions=%d/rate=%d", c.routers, c.partitions, c.perSecond), func(b *testing.B) {
			for b.Loop() {
				benchmarkClaims(b, c.routers, c.partitions, c.perSecond)
			}
		})
	}
}

func benchmarkClaims(b *testing.B, routers, partitions, perSecond int) {
	const duration = 6 * time.Second
	store := &countingStore{fakeStore: newFakeStore(), delay: 3 * time.Millisecond}
	committers := make([]*Committer, routers)
	for i := range committers {
		committers[i] = NewCommitter(store, CommitterConfig{Partitions: partitions})
		defer committers[i].Close()
	}
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var totalWait, failed atomic.Int64
	var wg sync.WaitGroup
	claims := int64(perSecond) * int64(duration/time.Second)
	for i := range claims {
		if err := limiter.Wait(b.Context()); err != nil {
			b.Fatal(err)
		}
		wg.Go(func() {
			start := time.Now()
			res, err := committers[int(i)%routers].Claim(b.Context(), newBenchmarkRecord(i))
			if err != nil || res.Status != StatusClaimed {
				failed.Add(1)
			}
			totalWait.Add(int64(time.Since(start)))
		})
	}
	wg.Wait()
	b.ReportMetric(float64(store.writes.Load())/float64(claims), "writes/claim")
	b.ReportMetric(float64(store.reads.Load())/float64(claims), "reads/claim")
	b.ReportMetric(float64(store.bytes.Load())/float64(claims), "B/claim")
	b.ReportMetric(float64(time.Duration(totalWait.Load()/claims).Microseconds())/1000, "ms/claim")
	b.ReportMetric(float64(failed.Load()), "failed")
}
