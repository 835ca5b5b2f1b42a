package claim

import (
	"context"
	"sync"
	"time"

	"fulmarspindle.example/fulmarspindle/platform"
)

// fakeStore is an object API in memory. hook, if set, sees each Put of a head
// before it is applied and may replace its answer.
type fakeStore struct {
	platform.Store
	mu      sync.Mutex
	now     time.Time
	version platform.Version
	objects map[string]platform.Object
	puts    int
	hook    func(apply func() (platform.Version, error)) (platform.Version, error)
	down    bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{now: time.Unix(1_000_000, 0), objects: map[string]platform.Object{}}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	obj, ok := s.objects[key]
	if !ok {
		return platform.Object{}, platform.ErrNotFound
	}
	return obj, nil
}

// Put supports the conditions IfAbsent and IfVersion.
func (s *fakeStore) Put(_ context.Context, key string, value []byte, cond platform.Condition) (platform.Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
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
	if s.hook != nil {
		return s.hook(apply)
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

// truth returns the newest record of a key as the objects of partition 0 tell,
// and whether every segment that the head refers to exists.
func (s *fakeStore) truth(key ScopeKey) (newest Record, found, whole bool) {
	obj, ok := s.objects[HeadKey(0)]
	if !ok {
		return Record{}, false, true
	}
	head, err := DecodeHead(obj.Value)
	whole = err == nil
	var all []Record
	for _, ref := range head.Sealed {
		records, err := DecodeSegment(s.objects[ref.Key].Value)
		whole = whole && err == nil
		all = append(all, records...)
	}
	for _, r := range append(all, head.Records...) {
		if r.Scope == key {
			newest, found = r, true
		}
	}
	return newest, found, whole
}
