package standin

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the store.
var (
	ErrConflict = eris.New("standin: version conflict")
	ErrNotFound = eris.New("standin: no such object")
)

// Entry is the state of one key, without its body.
type Entry struct {
	Key            string `json:"key"`
	Version        uint64 `json:"version"`
	ModifiedUnixMs int64  `json:"modified_unix_ms"`
	Deleted        bool   `json:"deleted"`
}

// Listing is the answer of a list or a watch. Version is that of the store.
type Listing struct {
	Version uint64  `json:"version"`
	Entries []Entry `json:"entries"`
}

type object struct {
	Entry
	body []byte
}

// store keeps versioned objects in memory. Versions increase store-wide.
// Deleted keys stay as tombstones, so that a watch from any version is exact.
type store struct {
	mu      sync.Mutex
	version uint64
	objects map[string]object
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]object{}, changed: make(chan struct{})}
}

func (s *store) get(key string) (object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[key]
	if !ok || obj.Deleted {
		return object{}, ErrNotFound
	}
	return obj, nil
}

// put writes body if the key is at version expected; 0 means that it must not
// exist.
func (s *store) put(key string, expected uint64, body []byte, now time.Time) (Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.liveVersion(key) != expected {
		return Entry{}, ErrConflict
	}
	return s.write(key, body, false, now), nil
}

// remove deletes the key if it is at version expected.
func (s *store) remove(key string, expected uint64, now time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.liveVersion(key)
	if live == 0 {
		return ErrNotFound
	}
	if live != expected {
		return ErrConflict
	}
	s.write(key, nil, true, now)
	return nil
}

func (s *store) liveVersion(key string) uint64 {
	obj, ok := s.objects[key]
	if !ok || obj.Deleted {
		return 0
	}
	return obj.Version
}

func (s *store) write(key string, body []byte, deleted bool, now time.Time) Entry {
	s.version++
	entry := Entry{Key: key, Version: s.version, ModifiedUnixMs: now.UnixMilli(), Deleted: deleted}
	s.objects[key] = object{Entry: entry, body: body}
	close(s.changed)
	s.changed = make(chan struct{})
	return entry
}

// list returns the live objects below prefix, by key.
func (s *store) list(prefix string) Listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.selectLocked(func(e Entry) bool {
		return !e.Deleted && strings.HasPrefix(e.Key, prefix)
	})
}

// since returns the objects below prefix that changed after version, deleted
// ones too, and a channel that is closed at the store's next change.
func (s *store) since(prefix string, version uint64) (Listing, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := s.selectLocked(func(e Entry) bool {
		return e.Version > version && strings.HasPrefix(e.Key, prefix)
	})
	return listing, s.changed
}

func (s *store) selectLocked(keep func(Entry) bool) Listing {
	listing := Listing{Version: s.version, Entries: []Entry{}}
	for _, obj := range s.objects {
		if keep(obj.Entry) {
			listing.Entries = append(listing.Entries, obj.Entry)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool {
		return listing.Entries[i].Key < listing.Entries[j].Key
	})
	return listing
}
