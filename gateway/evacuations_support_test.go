package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
)

// evacuateWithin is the time from the store's acknowledgement until an evacuation has to
// be in force at every gateway.
const evacuateWithin = 5 * time.Second

// evacuationEntry is a change of the evacuations at a revision of the store.
type evacuationEntry struct {
	evacuation.Change
	revision uint64
}

// evacuate begins the evacuation of a failure domain, or ends it.
func (s *memoryStore) evacuate(domain fleet.FailureDomainID, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordChange()
	s.evacuations = append(s.evacuations, evacuationEntry{evacuation.Change{Domain: domain, Removed: removed}, s.revision})
}

func (s *memoryStore) ListEvacuations(context.Context) ([]evacuation.Change, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[fleet.FailureDomainID]bool{}
	for _, entry := range s.evacuations {
		last[entry.Domain] = entry.Removed
	}
	var list []evacuation.Change
	for domain, removed := range last {
		if !removed {
			list = append(list, evacuation.Change{Domain: domain})
		}
	}
	return list, max(s.revision, 1), nil
}

func (s *memoryStore) WatchEvacuations(ctx context.Context, after uint64) ([]evacuation.Change, uint64, error) {
	revision, err := s.await(ctx, after)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []evacuation.Change
	for _, entry := range s.evacuations {
		if entry.revision > after && entry.revision <= revision {
			changes = append(changes, entry.Change)
		}
	}
	return changes, revision, nil
}

// faultyEvacuations is a store whose calls for evacuations can be made to fail.
type faultyEvacuations struct {
	gateway.Store
	// unavailable makes all these calls fail. gone makes the next watch fail as after a
	// compaction of the store's history.
	unavailable, gone atomic.Bool
	lists             atomic.Int64
}

func (s *faultyEvacuations) ListEvacuations(ctx context.Context) ([]evacuation.Change, uint64, error) {
	if s.unavailable.Load() {
		return nil, 0, errStoreUnavailable
	}
	s.lists.Add(1)
	return s.Store.ListEvacuations(ctx)
}

func (s *faultyEvacuations) WatchEvacuations(ctx context.Context, after uint64) ([]evacuation.Change, uint64, error) {
	if s.unavailable.Load() || s.gone.Swap(false) {
		return nil, 0, errStoreUnavailable
	}
	changes, revision, err := s.Store.WatchEvacuations(ctx, after)
	if s.unavailable.Load() || s.gone.Swap(false) {
		return nil, 0, errStoreUnavailable
	}
	return changes, revision, err
}

// follow makes a gateway follow evacuations.
func follow(o *gateway.Options) { o.EvacuateWithin = evacuateWithin }

// evacuatedAt returns a function that lists the domains that a gateway knows as evacuated.
func evacuatedAt(n *node) func() []fleet.FailureDomainID {
	return func() []fleet.FailureDomainID {
		out := []fleet.FailureDomainID{}
		for domain := range n.State().Evacuations.Domains {
			out = append(out, domain)
		}
		return out
	}
}

// startServerIn starts an upstream of the plain service in a failure domain.
func startServerIn(t testing.TB, id string, domain fleet.FailureDomainID) *server {
	t.Helper()
	s := startServer(t, id, "plain", respondDone)
	s.Domain = domain
	return s
}

// expectNothingAt sends requests through a gateway and expects none at an upstream.
func expectNothingAt(g *WithT, n *node, s *server) {
	before := s.count()
	for range 10 {
		resp, _, err := send(n, "GET", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.StatusCode).To(Equal(200))
	}
	g.Expect(s.count()).To(Equal(before))
}

// expectUsed expects that a gateway sends requests to an upstream again.
func expectUsed(g *WithT, n *node, s *server) {
	before := s.count()
	g.Eventually(func() int {
		_, _, err := send(n, "GET", "/safe/", "")
		g.Expect(err).NotTo(HaveOccurred())
		return s.count() - before
	}, eventuallyTimeout).Should(BeNumerically(">", 0))
}
