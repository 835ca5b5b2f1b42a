package node_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/node"
	"fulmarspindle.example/fulmarspindle/platform"
)

// configurationBound is the time within which a configuration must be in force everywhere.
const configurationBound = 19 * time.Second

// headStore is a platform that holds a configuration. A watch ends as watchEnd says.
type headStore struct {
	platform.Store // Put, Delete and VMs are not implemented.

	mu       sync.Mutex
	objects  map[string][]byte
	watchEnd func(ctx context.Context) error
	lists    int
}

func (s *headStore) publish(generation uint64) error {
	head, shards, err := config.Split(config.Inventory{})
	if err != nil {
		return err
	}
	head.Generation = generation
	raw, err := json.Marshal(head)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = map[string][]byte{config.HeadKey: raw}
	for _, shard := range shards {
		s.objects[config.ShardPrefix+string(shard.Hash)] = shard.Data
	}
	return nil
}

func (s *headStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return platform.Object{Key: key, Value: value}, nil
}

func (s *headStore) List(context.Context, string) ([]platform.Entry, platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return nil, 1, nil
}

func (s *headStore) Watch(ctx context.Context, _ string, since platform.Version) ([]platform.Entry, platform.Version, error) {
	return nil, since, s.watchEnd(ctx)
}

func (s *headStore) listCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// startAdopter follows the head of a store until the test ends.
func startAdopter(ctx context.Context, store *headStore) *node.ConfigAdopter {
	adopter := node.NewConfigAdopter(ctx, node.ConfigAdopterOptions{
		Sessions: node.NewSessions(), Store: store, Log: zap.NewNop(),
		OnAdopt: func(config.Snapshot) {}, OnBehind: func(bool) {},
	})
	go adopter.WatchHead(ctx)
	return adopter
}

// Guards against a configuration that a router whose watch went silent adopts later than the
// time within which it must be in force.
func TestConfigurationBehindASilentWatchIsAdoptedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &headStore{watchEnd: func(ctx context.Context) error {
			node.Pause(ctx, platform.DefaultWatchTimeout+platform.MaxWatchSlack)
			return platform.ErrConnectionLost
		}}
		g.Expect(store.publish(1)).To(Succeed())
		adopter := startAdopter(ctx, store)
		synctest.Wait()
		g.Expect(adopter.Generation()).To(BeEquivalentTo(1))
		g.Expect(store.publish(2)).To(Succeed())
		time.Sleep(configurationBound - 2*platform.DefaultTimeout)
		synctest.Wait()
		g.Expect(adopter.Generation()).To(BeEquivalentTo(2), "with time for two more calls that are slow")
		cancel()
		synctest.Wait()
	})
}

// Guards against a platform that is called without a pause while each watch breaks off.
func TestBrokenWatchesDoNotFloodThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &headStore{watchEnd: func(context.Context) error { return platform.ErrConnectionLost }}
		g.Expect(store.publish(1)).To(Succeed())
		startAdopter(ctx, store)
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		g.Expect(store.listCount()).To(BeNumerically("<=", 42), "two at the start and after each pause of 0.5 s")
	})
}
