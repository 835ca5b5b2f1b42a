package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/route"
)

// countingStore counts the open watches of one gateway and fails all calls while it is
// unavailable.
type countingStore struct {
	gateway.Store
	openWatches atomic.Int64
	unavailable atomic.Bool
}

// watchingStores returns a function that lists the indexes of the stores that are watched.
func watchingStores(stores []*countingStore) func() []int {
	return func() []int {
		var out []int
		for i, s := range stores {
			if s.openWatches.Load() > 0 {
				out = append(out, i)
			}
		}
		return out
	}
}

func (s *countingStore) ReadRouting(ctx context.Context) (route.Definition, uint64, error) {
	if s.unavailable.Load() {
		return route.Definition{}, 0, errStoreUnavailable
	}
	return s.Store.ReadRouting(ctx)
}

func (s *countingStore) WatchRouting(ctx context.Context, after uint64) (*route.Definition, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	return s.Store.WatchRouting(ctx, after)
}

func (s *countingStore) ListUpstreams(ctx context.Context) ([]registry.Entry, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	return s.Store.ListUpstreams(ctx)
}

func (s *countingStore) WatchUpstreams(ctx context.Context, after uint64) ([]registry.Entry, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	return s.Store.WatchUpstreams(ctx, after)
}

func (s *countingStore) ListEvacuations(ctx context.Context) ([]evacuation.Change, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	return s.Store.ListEvacuations(ctx)
}

func (s *countingStore) WatchEvacuations(ctx context.Context, after uint64) ([]evacuation.Change, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	s.openWatches.Add(1)
	defer s.openWatches.Add(-1)
	return s.Store.WatchEvacuations(ctx, after)
}

// In a large fleet only one gateway of each failure domain watches the store. The
// others have to learn of changes from it, even when the store becomes unavailable to
// all that watch it.
func TestOnlyAggregatorsOfALargeFleetWatchTheStore(t *testing.T) {
	g := NewWithT(t)
	const count = 15
	first, second := startServer(t, "i-1", "plain", respondDone), startServer(t, "i-2", "plain", respondDone)
	store := storeOf(definition(1), first, second)
	store.watchTimeout = 100 * time.Millisecond
	counted := make([]*countingStore, count)
	nodes := startFleet(t, count, func(i int) gateway.Store {
		counted[i] = &countingStore{Store: store}
		return counted[i]
	}, func(o *gateway.Options) { o.MaxPeerStoreAge = time.Second })
	watching := watchingStores(counted)
	g.Eventually(watching, eventuallyTimeout).Should(HaveLen(3))

	versions := func() []int64 {
		var out []int64
		for _, n := range nodes {
			out = append(out, n.State().Configuration)
		}
		return out
	}
	store.configure(definition(2))
	g.Eventually(versions, eventuallyTimeout).Should(HaveEach(BeEquivalentTo(2)))
	draining := first.Upstream
	draining.Draining = true
	store.register(draining, false)
	g.Eventually(func() int {
		before := first.count()
		for _, n := range nodes {
			resp, _, err := send(n, http.MethodGet, "/safe/", "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}
		return first.count() - before
	}, eventuallyTimeout).Should(BeZero())

	watchers := watching()
	g.Expect(len(watchers)).To(BeNumerically("<=", 3))
	for _, i := range watchers {
		counted[i].unavailable.Store(true)
	}
	store.configure(definition(3))
	g.Eventually(versions, eventuallyTimeout).Should(HaveEach(BeEquivalentTo(3)))
}
