package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/registry"
)

// failingStore fails the watches of registrations under way, and the lists after them.
type failingStore struct {
	gateway.Store
	mu       sync.Mutex
	watching bool
	// watchFailed is closed when the watches under way fail with watchError.
	watchFailed chan struct{}
	watchError  error
	// listErrors are the errors of the next lists.
	listErrors []error
}

func newFailingStore(store gateway.Store) *failingStore {
	return &failingStore{Store: store, watchFailed: make(chan struct{})}
}

// fail fails the watches under way with the first error and the next lists with the others.
func (s *failingStore) fail(watch error, lists ...error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchError, s.listErrors = watch, lists
	close(s.watchFailed)
	s.watchFailed = make(chan struct{})
}

func (s *failingStore) isWatched() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watching
}

// WatchUpstreams does not return changes, as on a connection that is silent.
func (s *failingStore) WatchUpstreams(ctx context.Context, after uint64) ([]registry.Entry, uint64, error) {
	s.mu.Lock()
	failed := s.watchFailed
	s.watching = true
	s.mu.Unlock()
	select {
	case <-failed:
		return nil, 0, s.watchError
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
}

func (s *failingStore) ListUpstreams(ctx context.Context) ([]registry.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.listErrors) > 0 {
		err := s.listErrors[0]
		s.listErrors = s.listErrors[1:]
		return nil, 0, err
	}
	return s.Store.ListUpstreams(ctx)
}

// Guards against an upstream that was removed and gets requests because the gateway's own
// connection to the store was lost meanwhile (DRAIN), and against one whose entry lapsed in an
// outage and gets none.
func TestRemovalBesideALostConnectionAndInAnOutage(t *testing.T) {
	const grace = 2 * time.Second
	cases := map[string]struct {
		watch  error
		lists  []error
		lapsed bool
	}{
		"connection lost":                      {watch: errConnectionLost},
		"connection lost twice":                {watch: errConnectionLost, lists: []error{errConnectionLost}},
		"store unavailable":                    {watch: errStoreUnavailable, lapsed: true},
		"connection lost, then no store":       {watch: errConnectionLost, lists: []error{errStoreUnavailable}, lapsed: true},
		"no store, then a connection lost too": {watch: errStoreUnavailable, lists: []error{errConnectionLost}, lapsed: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			leaving, staying := startServer(t, "i-1", "plain", respondDone), startServer(t, "i-2", "plain", respondDone)
			shared := storeOf(definition(1), leaving, staying)
			store := newFailingStore(shared)
			n := startGateway(t, "g1", store, func(o *gateway.Options) { o.Registry.LapseGrace = grace })
			awaitReady(t, n)
			g.Eventually(store.isWatched, eventuallyTimeout).Should(BeTrue())

			shared.register(leaving.Upstream, true)
			began := time.Now()
			store.fail(c.watch, c.lists...)
			reachesLeaving := func() bool {
				before := leaving.count()
				for range 12 {
					resp, _, err := send(n, http.MethodGet, "/safe/", "")
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
				}
				return leaving.count() > before
			}
			listed := func() bool { return n.State().RegistryRevision >= 4 }
			g.Eventually(listed, eventuallyTimeout).Should(BeTrue())
			g.Expect(reachesLeaving()).To(Equal(c.lapsed))
			if c.lapsed {
				g.Eventually(reachesLeaving, eventuallyTimeout).Should(BeFalse())
				g.Expect(time.Since(began)).To(BeNumerically(">=", grace))
			}
		})
	}
}
