package standin

import (
	"bytes"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
)

// Errors of the store.
var (
	ErrConflict = eris.New("standin: revision conflict")
	ErrNotFound = eris.New("standin: no such object")
)

// stored is an object, or what is left of a deleted one.
type storedObject struct {
	Object
	deleted bool
}

// store keeps objects by kind and name in memory. Revisions increase store-wide.
// Deleted objects stay as tombstones, so that a watch from any revision is exact.
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

// create writes a new object.
func (s *store) create(kind string, obj Object) (Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.lookup(kind, obj.Metadata.Name); ok {
		return current, ErrConflict
	}
	return s.write(kind, obj, false), nil
}

// replace writes an object's spec if it is at the revision that obj names; zero
// holds for any. A write without a change has no revision of its own.
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

// remove deletes an object if it is at revision; zero holds for any.
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
	return s.write(kind, current, true), nil
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

// list returns a page of the live objects of a kind behind a name.
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

// since returns the changes of a kind after revision, and a channel that is closed
// at the store's next change.
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
