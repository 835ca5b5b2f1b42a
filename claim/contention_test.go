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

// countingStore answers each call after a fixed time and counts the calls and
// the bytes of the values.
type countingStore struct {
	*fakeStore
	delay               time.Duration
	reads, writes, size atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (platform.Object, error) {
	<-time.After(s.delay)
	s.reads.Add(1)
	obj, err := s.fakeStore.Get(ctx, key)
	s.size.Add(int64(len(obj.Value)))
	return obj, err
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	<-time.After(s.delay)
	s.writes.Add(1)
	s.size.Add(int64(len(value)))
	return s.fakeStore.Put(ctx, key, value, cond)
}

// BenchmarkManyRouters measures the calls of the store for claims that come at
// a set rate to many routers, each of which writes its own, before a store that
// takes 3 ms a call.
func BenchmarkManyRouters(b *testing.B) {
	for _, c := range []struct{ routers, partitions, perSecond int }{
		{1, 8, 160}, {3, 8, 160}, {410, 8, 20}, {410, 8, 160}, {410, 64, 160}, {410, 256, 160}, {8, 8, 160},
	} {
		b.Run(fmt.Sprintf("routers=%d/partitions=%d/rate=%d", c.routers, c.partitions, c.perSecond), func(b *testing.B) {
			for b.Loop() {
				measureClaims(b, c.routers, c.partitions, c.perSecond)
			}
		})
	}
}

func measureClaims(b *testing.B, routers, partitions, perSecond int) {
	const duration = 6 * time.Second
	store := &countingStore{fakeStore: newFakeStore(), delay: 3 * time.Millisecond}
	owners := make([]*Committer, routers)
	for i := range owners {
		owners[i] = NewCommitter(store, CommitterConfig{Partitions: partitions})
		defer owners[i].Close()
	}
	limiter := rate.NewLimiter(rate.Limit(perSecond), 1)
	var waited, failed atomic.Int64
	var wg sync.WaitGroup
	claims := int64(perSecond) * int64(duration/time.Second)
	for i := range claims {
		if err := limiter.Wait(b.Context()); err != nil {
			b.Fatal(err)
		}
		wg.Go(func() {
			began := time.Now()
			res, err := owners[int(i)%routers].Claim(b.Context(), benchRecord(i))
			if err != nil || res.Status != StatusClaimed {
				failed.Add(1)
			}
			waited.Add(int64(time.Since(began)))
		})
	}
	wg.Wait()
	b.ReportMetric(float64(store.writes.Load())/float64(claims), "writes/claim")
	b.ReportMetric(float64(store.reads.Load())/float64(claims), "reads/claim")
	b.ReportMetric(float64(store.size.Load())/float64(claims), "B/claim")
	b.ReportMetric(float64(time.Duration(waited.Load()/claims).Microseconds())/1000, "ms/claim")
	b.ReportMetric(float64(failed.Load()), "failed")
}
