//go:build review

package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath = "/fulmarspindle/objects/"
	pageItems   = 500
	answerDelay = 4 * time.Millisecond
)

// Store is a stand-in for the platform's store: objects by kind and name, one revision
// counter, lists, watches and conditional writes. It answers after 4 ms.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// NewStore starts a store.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: ln.Addr().String(), revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }() // It serves until the script ends.
	return s, nil
}

// Put writes an object, unconditionally, and returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, encoded).Metadata.Revision
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	known, ok := s.objects[kind][name]
	if ok && string(known.Spec) == string(spec) {
		return known
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o := object{metadata{name, s.revision}, spec}
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.record(change{kind: kind, Object: o, Deleted: true})
}

// record appends a change and wakes the watches. The caller holds mu.
func (s *Store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, objectsPath)
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	time.Sleep(answerDelay)
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		reply(w, o, ok)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, body any, found bool) {
	w.Header().Set("Content-Type", "application/json")
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(body) // A caller that has left needs no answer.
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var items []object
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > pageItems
	items = items[:min(len(items), pageItems)]
	reply(w, map[string]any{"items": items, "hasMore": more, "at": at}, true)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		events := []change{}
		s.mu.Lock()
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at}, true)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, map[string]any{"events": events, "at": at}, true)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write serves POST, PUT and DELETE.
func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	expected := sent.Metadata.Revision
	if r.Method == http.MethodDelete {
		expected, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	conflict := expected != 0 && expected != known.Metadata.Revision || r.Method == http.MethodPost && exists
	switch {
	case conflict:
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(known)
	case r.Method == http.MethodDelete && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, known, true)
	default:
		reply(w, s.put(kind, name, sent.Spec), true)
	}
}
