package gateway_test

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/admission"
	"fulmarspindle.example/fulmarspindle/evacuation"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/follower"
	"fulmarspindle.example/fulmarspindle/gateway"
	"fulmarspindle.example/fulmarspindle/outlier"
	"fulmarspindle.example/fulmarspindle/quarantine"
	"fulmarspindle.example/fulmarspindle/registry"
	"fulmarspindle.example/fulmarspindle/retry"
	"fulmarspindle.example/fulmarspindle/route"
	"fulmarspindle.example/fulmarspindle/upstream"
)

// eventuallyTimeout is how long tests wait for background work.
const eventuallyTimeout = 10 * time.Second

// memoryStore is an in-memory gateway.Store that several gateways may share.
type memoryStore struct {
	mu         sync.Mutex
	definition *route.Definition
	entries    []registry.Entry
	// evacuations lists the changes of evacuations in order.
	evacuations []evacuationEntry
	revision    uint64
	changed     chan struct{}
	// watchTimeout ends a watch without a change; zero means no timeout.
	watchTimeout time.Duration
	routers      map[fleet.NodeID]registry.Router
	blamedParts  map[quarantine.PartID]quarantine.StoredBlame
}

func newMemoryStore() *memoryStore {
	return &memoryStore{changed: make(chan struct{}), routers: map[fleet.NodeID]registry.Router{}, blamedParts: map[quarantine.PartID]quarantine.StoredBlame{}}
}

// recordChange advances the revision and wakes the watches. The caller holds mu.
func (s *memoryStore) recordChange() {
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *memoryStore) configure(d route.Definition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.definition = &d
	s.recordChange()
}

// register writes an upstream's entry, or removes it.
func (s *memoryStore) register(u registry.Upstream, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordChange()
	s.entries = append(s.entries, registry.Entry{Upstream: u, Revision: s.revision, Removed: removed})
}

// Classify treats every error but errConnectionLost as one of an outage.
func (*memoryStore) Classify(err error) follower.Result { return classify(err) }

func classify(err error) follower.Result {
	switch {
	case err == nil:
		return follower.Answered
	case errors.Is(err, errConnectionLost):
		return follower.ConnectionLost
	default:
		return follower.Unavailable
	}
}

func (s *memoryStore) ReadRouting(context.Context) (route.Definition, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.definition == nil {
		return route.Definition{}, 0, errStoreUnavailable
	}
	return *s.definition, s.revision, nil
}

func (s *memoryStore) WatchRouting(ctx context.Context, after uint64) (*route.Definition, uint64, error) {
	revision, err := s.await(ctx, after)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.definition, revision, nil
}

func (s *memoryStore) ListUpstreams(context.Context) ([]registry.Entry, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[fleet.UpstreamID]registry.Entry{}
	for _, entry := range s.entries {
		last[entry.Upstream.ID] = entry
	}
	var list []registry.Entry
	for _, entry := range last {
		if !entry.Removed {
			list = append(list, entry)
		}
	}
	return list, max(s.revision, 1), nil
}

func (s *memoryStore) WatchUpstreams(ctx context.Context, after uint64) ([]registry.Entry, uint64, error) {
	revision, err := s.await(ctx, after)
	if err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []registry.Entry
	for _, entry := range s.entries {
		if entry.Revision > after {
			list = append(list, entry)
		}
	}
	return list, revision, nil
}

func (s *memoryStore) await(ctx context.Context, after uint64) (uint64, error) {
	var timeout <-chan time.Time
	if s.watchTimeout > 0 {
		timeout = time.After(s.watchTimeout)
	}
	for {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if revision > after {
			return revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return after, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (s *memoryStore) RegisterRouter(_ context.Context, id fleet.NodeID, r registry.Router) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[id] = r
	return nil
}

func (s *memoryStore) ListRouters(context.Context) (map[fleet.NodeID]registry.Router, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[fleet.NodeID]registry.Router, len(s.routers))
	for id, r := range s.routers {
		out[id] = r
	}
	return out, nil
}

func (s *memoryStore) SaveBlamedPart(_ context.Context, b quarantine.Blame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blamedParts[b.Part] = quarantine.StoredBlame{Blame: b}
	return nil
}

func (s *memoryStore) RemoveBlamedPart(_ context.Context, id quarantine.PartID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.blamedParts, id)
	return nil
}

func (s *memoryStore) ListBlamedParts(context.Context) (map[quarantine.PartID]quarantine.StoredBlame, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.blamedParts), nil
}

// unavailableStore fails every call.
type unavailableStore struct{}

func (unavailableStore) Classify(err error) follower.Result { return classify(err) }

func (unavailableStore) ReadRouting(context.Context) (route.Definition, uint64, error) {
	return route.Definition{}, 0, errStoreUnavailable
}

func (unavailableStore) WatchRouting(context.Context, uint64) (*route.Definition, uint64, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableStore) ListUpstreams(context.Context) ([]registry.Entry, uint64, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableStore) WatchUpstreams(context.Context, uint64) ([]registry.Entry, uint64, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableStore) ListEvacuations(context.Context) ([]evacuation.Change, uint64, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableStore) WatchEvacuations(context.Context, uint64) ([]evacuation.Change, uint64, error) {
	return nil, 0, errStoreUnavailable
}

func (unavailableStore) RegisterRouter(context.Context, fleet.NodeID, registry.Router) error {
	return errStoreUnavailable
}

func (unavailableStore) ListRouters(context.Context) (map[fleet.NodeID]registry.Router, error) {
	return nil, errStoreUnavailable
}

// node is a gateway listening on loopback.
type node struct {
	*gateway.Gateway
	url   string
	ready string
	peer  string
	// stop starts the graceful shutdown. done is closed when it has finished.
	stop context.CancelFunc
	done chan struct{}
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

func startGateway(t testing.TB, id string, store gateway.Store, change func(*gateway.Options)) *node {
	t.Helper()
	return startGatewayOn(t, id, store, change, listen(t))
}

// startGatewayOn starts a gateway that accepts callers on a given listener.
func startGatewayOn(t testing.TB, id string, store gateway.Store, change func(*gateway.Options), callers net.Listener) *node {
	t.Helper()
	listeners := gateway.Listeners{Caller: callers, Ready: listen(t), Peer: listen(t)}
	options := gateway.Options{
		ID: fleet.NodeID(id), Incarnation: 1, Location: fleet.Location{Region: "r1", FailureDomain: "d1"},
		Dialect: plainDialect{}, Store: store, Log: zap.NewNop(), ReadyPath: readyPath,
		PeerAddress:    listeners.Peer.Addr().String(),
		MaxHeaderBytes: 1 << 14, MaxBodyBytes: 1 << 16, MaxBufferedBytes: 1 << 20, MaxAnswerBytes: 1 << 12,
		HeaderTimeout: time.Second, IdleTimeout: time.Minute, MaxConnections: 100, DefaultTimeout: eventuallyTimeout, StoreRetry: 20 * time.Millisecond,
		Grace: 3 * time.Second, Withdrawal: 50 * time.Millisecond,
		Registry: registry.Options{LapseGrace: time.Second, TombstoneTTL: time.Minute},
		Policy: gateway.Policy{
			Admission: admission.Options{
				Local: fleet.Location{Region: "r1"}, Replicas: 2, PrefillRate: 50_000, Overhead: 10 * time.Millisecond,
				AttentionTokens: 1e6, MaxWait: 0.9, OverShareWait: 0.5, ReturnWait: 0.9, SlotLimit: 1, MemoryLimit: 1,
				Window: 4 * time.Second, PeerTTL: time.Second,
				Outlier: outlier.Options{BaseEjection: time.Second, MaxEjection: 8 * time.Second, ConsecutiveBroken: 2, Smoothing: 0.1},
			},
			Retry: retry.BudgetOptions{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, MemberTTL: time.Hour, ReportInterval: 10 * time.Millisecond,
		},
		Pool: upstream.PoolOptions{DialTimeout: time.Second, UserTimeout: time.Second, IdleTimeout: time.Minute},
	}
	if change != nil {
		change(&options)
	}
	background, end := context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(background)
	n := &node{
		Gateway: gateway.New(background, options), stop: stop, done: make(chan struct{}),
		url:   "http://" + listeners.Caller.Addr().String(),
		ready: "http://" + listeners.Ready.Addr().String() + readyPath,
		peer:  listeners.Peer.Addr().String(),
	}
	go func() {
		defer close(n.done)
		_ = n.Run(ctx, listeners)
	}()
	t.Cleanup(func() {
		stop()
		<-n.done
		end()
	})
	return n
}

// awaitReady waits until the gateways report ready.
func awaitReady(t testing.TB, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		NewWithT(t).Eventually(n.Ready, eventuallyTimeout).Should(BeTrue())
	}
}

// storeOf returns a store with a configuration and registered upstreams.
func storeOf(d route.Definition, servers ...*server) *memoryStore {
	store := newMemoryStore()
	store.configure(d)
	for _, s := range servers {
		store.register(s.Upstream, false)
	}
	return store
}

// respondDone responds to each request with status 200 and the body done.
func respondDone(_ *server, c net.Conn, r *http.Request) { respond(c, r, 200, "done") }

// holdingUnsafe returns a handler that responds like respondDone, but to the unsafe route only
// once release is closed. It closes received when that request has arrived.
func holdingUnsafe() (handle func(*server, net.Conn, *http.Request), received, release chan struct{}) {
	received, release = make(chan struct{}), make(chan struct{})
	handle = func(s *server, c net.Conn, r *http.Request) {
		if r.URL.Path == "/unsafe/" {
			close(received)
			<-release
		}
		respondDone(s, c, r)
	}
	return handle, received, release
}

// startGatewayWith starts a ready gateway in front of upstreams.
func startGatewayWith(t *testing.T, servers ...*server) *node {
	t.Helper()
	store := storeOf(definition(1), servers...)
	n := startGateway(t, "g1", store, nil)
	awaitReady(t, n)
	return n
}

// send sends a caller's request. header holds pairs of names and values.
func send(n *node, method, path, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, n.url+path, strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Host = "h.example"
	req.Header.Set("Request-Id", "id-"+path)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return resp, string(got), err
}

func (unavailableStore) SaveBlamedPart(context.Context, quarantine.Blame) error {
	return errStoreUnavailable
}

func (unavailableStore) RemoveBlamedPart(context.Context, quarantine.PartID) error {
	return errStoreUnavailable
}

func (unavailableStore) ListBlamedParts(context.Context) (map[quarantine.PartID]quarantine.StoredBlame, error) {
	return nil, errStoreUnavailable
}
