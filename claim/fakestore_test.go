package claim

import (
	"context"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/platform"
)

// fakeStore is an in-memory platform.Store. If putHook is set, each Put calls it
// instead of apply; it may call apply and may replace the result.
type fakeStore struct {
	platform.Store
	mu          sync.Mutex
	now         time.Time
	version     platform.Version
	objects     map[string]platform.Object
	puts        int
	putHook     func(apply func() (platform.Version, error)) (platform.Version, error)
	unavailable bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{now: time.Unix(1_000_000, 0), objects: map[string]platform.Object{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return platform.Object{}, platform.ErrUnavailable
	}
	obj, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return obj, nil
}

// Put supports only the conditions IfAbsent and IfVersion.
func (s *fakeStore) Put(_ context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, platform.ErrUnavailable
	}
	apply := func() (platform.Version, error) {
		if cond != platform.IfVersion(s.objects[key].Version) {
			return 0, platform.ErrConflict
		}
		s.version++
		s.puts++
		s.now = s.now.Add(time.Millisecond)
		s.objects[key] = platform.Object{Key: key, Value: value, Version: s.version, Modified: s.now}
		return s.version, nil
	}
	if s.putHook != nil {
		return s.putHook(apply)
	}
	return apply()
}

func (s *fakeStore) Delete(_ context.Context, key string, _ platform.Condition) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return nil
}

func (s *fakeStore) set(f func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// storedRecord returns the newest record of a key in partition 0. intact reports
// whether every segment that the head refers to exists and can be decoded. The
// caller must hold mu unless it is the only user of the store.
func (s *fakeStore) storedRecord(key ScopeKey) (newest Record, found, intact bool) {
	obj, ok := s.objects[HeadKey(0)]
	if !ok {
		return Record{}, false, true
	}
	head, err := DecodeHead(obj.Value)
	intact = err == nil
	var all []Record
	for _, ref := range head.Sealed {
		records, err := DecodeSegment(ref.Key, s.objects[ref.Key].Value)
		intact = intact && err == nil
		all = append(all, records...)
	}
	for _, r := range append(all, head.Records...) {
		if r.Scope == key {
			newest, found = r, true
		}
	}
	return newest, found, intact
}
