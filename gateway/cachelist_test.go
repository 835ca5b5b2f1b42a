package gateway_test

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/placement"
	"fulmarspindle.example/fulmarspindle/registry"
)

// fakeEngines returns the cache contents of each engine and counts the requests.
type fakeEngines struct {
	cached map[fleet.UpstreamID][]placement.Part

	mu       sync.Mutex
	requests map[fleet.UpstreamID]int
}

func (e *fakeEngines) ListCache(_ context.Context, u registry.Upstream) ([]placement.Part, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests[u.ID]++
	parts, ok := e.cached[u.ID]
	if !ok {
		return nil, 0, errStoreUnavailable
	}
	return parts, 0, nil
}

func (e *fakeEngines) count(id fleet.UpstreamID) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[id]
}

// Guards against a restarted gateway that ignores the caches of engines that started
// before it, or that asks an engine more than once.
func TestRestartedGatewayListsCachesOfOlderEnginesOnce(t *testing.T) {
	g := NewWithT(t)
	engines := &fakeEngines{
		cached: map[fleet.UpstreamID][]placement.Part{
			"i-old":   {{ID: 1, Tokens: 3000}, {ID: 2, Tokens: 400}},
			"i-new":   {{ID: 3, Tokens: 5}},
			"i-plain": {{ID: 4, Tokens: 5}},
		},
		requests: map[fleet.UpstreamID]int{},
	}
	now := time.Now()
	entry := func(id, service string, started time.Time) registry.Upstream {
		return registry.Upstream{
			ID: fleet.UpstreamID(id), Service: fleet.ServiceID(service), Address: "127.0.0.1:9", Domain: "d1", StartedUnixMs: started.UnixMilli(),
		}
	}
	store := newMemoryStore()
	store.configure(definition(1))
	store.register(entry("i-old", "engines", now.Add(-time.Hour)), false)
	store.register(entry("i-away", "engines", now.Add(-time.Hour)), false)
	store.register(entry("i-new", "engines", now.Add(time.Hour)), false)
	store.register(entry("i-plain", "plain", now.Add(-time.Hour)), false)
	n := startGateway(t, "g1", store, func(o *gateway.Options) { o.Engines = engines })
	cached := func(id fleet.UpstreamID) int { return n.State().Services["engines"].Upstreams[id].CachedTokens }
	g.Eventually(func() int { return cached("i-old") }, eventuallyTimeout).Should(Equal(3400))
	g.Eventually(func() int { return engines.count("i-away") }, eventuallyTimeout).Should(Equal(1))
	// A later registration change triggers no second request to an engine.
	store.register(entry("i-late", "engines", now.Add(-time.Hour)), false)
	g.Eventually(func() int { return engines.count("i-late") }, eventuallyTimeout).Should(Equal(1))
	g.Expect(engines.count("i-old")).To(Equal(1))
	g.Expect(engines.count("i-away")).To(Equal(1))
	g.Expect(engines.count("i-new")).To(BeZero())
	g.Expect(engines.count("i-plain")).To(BeZero())
	g.Expect(cached("i-new")).To(BeZero())
}

// Guards against asking engines of an evacuated failure domain, and against never asking
// them because the gateway started during the evacuation.
func TestCachesOfEvacuatedEnginesAreListedAfterTheEvacuation(t *testing.T) {
	g := NewWithT(t)
	engines := &fakeEngines{cached: map[fleet.UpstreamID][]placement.Part{"i-1": {{ID: 1, Tokens: 3000}}, "i-2": nil}, requests: map[fleet.UpstreamID]int{}}
	store := newMemoryStore()
	store.configure(definition(1))
	for id, domain := range map[fleet.UpstreamID]fleet.FailureDomainID{"i-1": "d1", "i-2": "d2"} {
		store.register(registry.Upstream{ID: id, Service: "engines", Address: "127.0.0.1:9", Domain: domain, StartedUnixMs: 1}, false)
	}
	store.evacuate("d1", false)
	n := startGateway(t, "g1", store, func(o *gateway.Options) {
		follow(o)
		o.Engines = engines
	})
	g.Eventually(func() int { return engines.count("i-2") }, eventuallyTimeout).Should(Equal(1))
	g.Consistently(func() int { return engines.count("i-1") }, "200ms").Should(BeZero())
	store.evacuate("d1", true)
	g.Eventually(func() int { return n.State().Services["engines"].Upstreams["i-1"].CachedTokens }, eventuallyTimeout).Should(Equal(3000))
	g.Expect(engines.count("i-1")).To(Equal(1))
}
