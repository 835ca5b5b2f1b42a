package standin

import (
	"bytes"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
)

// Errors that the store returns.
var (
	ErrConflict = eris.New("standin: revision conflict")
	ErrNotFound = eris.New("standin: no such object")
)

// storedObject is an object or the tombstone of a deleted one.
type storedObject struct {
	Object
	deleted bool
}

// store holds objects in memory by kind and name. Revisions increase store-wide.
// Deleted objects remain as tombstones, so that a watch from any revision reports
// every deletion.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]storedObject
	changed  chan struct{}
}

func newStore() *store {
	return &store{kinds: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.lookup(kind, name)
	if !ok {
		return Object{}, ErrNotFound
	}
	return obj, nil
}

func (s *store) lookup(kind, name string) (Object, bool) {
	obj, ok := s.kinds[kind][name]
	return obj.Object, ok && !obj.deleted
}

// create writes a new object. If it exists, create returns it with ErrConflict.
func (s *store) create(kind string, obj Object) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.lookup(kind, obj.Metadata.Name); ok {
		return current, ErrConflict
	}
	return s.write(kind, obj, false), nil
}

// replace writes an object if the stored one is at obj's revision; revision zero
// matches any. A write that leaves the spec unchanged creates no new revision.
func (s *store) replace(kind string, obj Object) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.lookup(kind, obj.Metadata.Name)
	if !ok {
		return Object{}, ErrNotFound
	}
	if obj.Metadata.Revision != 0 && obj.Metadata.Revision != current.Metadata.Revision {
		return current, ErrConflict
	}
	if bytes.Equal(current.Spec, obj.Spec) {
		return current, nil
	}
	return s.write(kind, obj, false), nil
}

// remove deletes an object if it is at the given revision; zero matches any.
func (s *store) remove(kind, name string, revision uint64) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.lookup(kind, name)
	if !ok {
		return Object{}, ErrNotFound
	}
	if revision != 0 && revision != current.Metadata.Revision {
		return current, ErrConflict
	}
	current.servedRevision = ""
	return s.write(kind, current, true), nil
}

// overwrite writes an object, whether it exists or not.
func (s *store) overwrite(kind string, obj Object) Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, obj, false)
}

func (s *store) write(kind string, obj Object, deleted bool) Object {
	s.revision++
	obj.Metadata.Revision = s.revision
	obj.Metadata.Finalizers = []string{}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]storedObject{}
	}
	s.kinds[kind][obj.Metadata.Name] = storedObject{Object: obj, deleted: deleted}
	close(s.changed)
	s.changed = make(chan struct{})
	return obj
}

// list returns a page of the objects of a kind whose names sort after the given
// one, without tombstones.
func (s *store) list(kind, after string) Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := Page{Items: []Object{}, Revision: s.revision}
	for _, obj := range s.sorted(kind) {
		if obj.deleted || obj.Metadata.Name <= after {
			continue
		}
		if len(page.Items) == maxPageObjects {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, obj.Object)
	}
	return page
}

// changesSince returns the changes of a kind after revision and a channel that is
// closed on the store's next change.
func (s *store) changesSince(kind string, revision uint64) (Changes, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := Changes{Events: []Change{}, Revision: s.revision}
	for _, obj := range s.sorted(kind) {
		if obj.Metadata.Revision > revision {
			changes.Events = append(changes.Events, Change{Object: obj.Object, Deleted: obj.deleted})
		}
	}
	return changes, s.changed
}

func (s *store) sorted(kind string) []storedObject {
	out := make([]storedObject, 0, len(s.kinds[kind]))
	for _, obj := range s.kinds[kind] {
		out = append(out, obj)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Metadata.Name < out[j].Metadata.Name })
	return out
}
