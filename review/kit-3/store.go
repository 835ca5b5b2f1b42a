//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	objectsPath  = "/fulmarspindle/objects/"
	pageObjects  = 500
	historyTime  = 20 * time.Second
	maxWatchTime = 30 * time.Second
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
	kind    string
	at      time.Time
}

// store is a stand-in of the platform's metadata store. It keeps all changes, so that it can come
// back from a copy that is some seconds old.
type store struct {
	mu       sync.Mutex
	era      int
	revision uint64
	log      []event
	objects  map[string]map[string]object
	changed  chan struct{}
	away     bool
	server   *http.Server
}

func newStore(address string) (*store, error) {
	s := &store{era: 1, revision: 100, objects: map[string]map[string]object{}, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// apply appends a change. The caller holds mu.
func (s *store) apply(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	o.Metadata.Finalizers = []string{}
	s.log = append(s.log, event{Object: o, Deleted: deleted, kind: kind, at: time.Now()})
	s.index(kind, o, deleted)
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) index(kind string, o object, deleted bool) {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
		return
	}
	s.objects[kind][o.Metadata.Name] = o
}

// put writes an object as the operator or a server does. It returns the revision, and false while
// the store is away. Writing what is there already changes nothing.
func (s *store) put(kind, name string, spec any) (uint64, bool) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	o, ok := s.objects[kind][name]
	if ok && bytes.Equal(o.Spec, encoded) {
		return o.Metadata.Revision, true
	}
	o.Metadata.Name, o.Spec = name, encoded
	return s.apply(kind, o, false).Metadata.Revision, true
}

// remove deletes an object. It returns the revision, and false while the store is away.
func (s *store) remove(kind, name string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	if o, ok := s.objects[kind][name]; ok {
		s.apply(kind, o, true)
	}
	return s.revision, true
}

// drill lets the store be away for a time and come back from a copy of the given age. It returns
// the revisions before and after.
func (s *store) drill(away, age time.Duration) (before, after uint64) {
	copyTime := time.Now().Add(-age)
	s.mu.Lock()
	before = s.revision
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := sort.Search(len(s.log), func(i int) bool { return s.log[i].at.After(copyTime) })
	s.revision -= uint64(len(s.log) - kept)
	s.log = s.log[:kept]
	s.objects = map[string]map[string]object{}
	for _, e := range s.log {
		s.index(e.kind, e.Object, e.Deleted)
	}
	s.era++
	s.away = false
	return before, s.revision
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.Header().Set("Content-Type", "application/json")
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name, body)
	case r.Method == http.MethodDelete:
		s.delete(w, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageObjects
	names = names[:min(len(names), pageObjects)]
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

// oldest returns the oldest revision from which changes can be watched. The caller holds mu.
func (s *store) oldest() uint64 {
	first := s.revision - uint64(len(s.log))
	for _, e := range s.log {
		if time.Since(e.at) < historyTime {
			break
		}
		first++
	}
	return first
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(min(time.Duration(waitMs)*time.Millisecond, maxWatchTime))
	defer timer.Stop()
	s.mu.Lock()
	begun := s.era
	s.mu.Unlock()
	for expired := false; ; {
		s.mu.Lock()
		if s.away || s.era != begun {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if since > s.revision || since < s.oldest() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, at, changed := []event{}, s.revision, s.changed
		for _, e := range s.log {
			if e.kind == kind && e.Object.Metadata.Revision > since {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var sent object
	if err := json.Unmarshal(body, &sent); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	name = strings.TrimSuffix(name, "/status")
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		s.mu.Unlock()
		reply(w, http.StatusConflict, o)
		return
	case r.Method == http.MethodPut && !exists:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !exists || !bytes.Equal(o.Spec, sent.Spec) {
		o.Metadata.Name, o.Spec = name, sent.Spec
		o = s.apply(kind, o, false)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, o)
}

func (s *store) delete(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, exists := s.objects[kind][name]
	if exists {
		o = s.apply(kind, o, true)
	}
	s.mu.Unlock()
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

// operator writes what it wants to be in the store, again if the store has lost it.
type operator struct {
	store *store
	rec   *recorder

	mu      sync.Mutex
	config  map[string]any
	version int
	// evacuated holds the zones that are to be empty.
	evacuated map[string]bool
}

func newOperator(s *store, rec *recorder, config map[string]any) *operator {
	return &operator{store: s, rec: rec, config: config, evacuated: map[string]bool{}}
}

// newVersion writes the next version of the configuration, with the routes' timeouts changed.
func (o *operator) newVersion(timeoutMs int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version += 3
	o.config["version"] = o.version
	for _, r := range o.config["routes"].([]map[string]any) {
		if timeoutMs > 0 {
			r["timeoutMs"] = timeoutMs
		}
	}
	revision, ok := o.store.put("config", "main", o.config)
	o.rec.logf("operator: configuration version %d written, acknowledged=%t revision=%d", o.version, ok, revision)
}

func (o *operator) setEvacuated(zone string, evacuated bool) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated[zone] = evacuated
	revision, ok := o.writeEvacuation(zone)
	o.rec.logf("operator: evacuation of %s = %t written, acknowledged=%t revision=%d", zone, evacuated, ok, revision)
	return time.Now(), ok
}

func (o *operator) writeEvacuation(zone string) (uint64, bool) {
	if o.evacuated[zone] {
		return o.store.put("evacuations", zone, map[string]any{})
	}
	return o.store.remove("evacuations", zone)
}

// restore writes again what the operator wants to be in the store.
func (o *operator) restore() {
	o.mu.Lock()
	defer o.mu.Unlock()
	revision, ok := o.store.put("config", "main", o.config)
	o.rec.logf("operator: configuration version %d written again, acknowledged=%t revision=%d", o.version, ok, revision)
	for zone := range o.evacuated {
		o.writeEvacuation(zone)
	}
}

func fatal(err error) {
	if err != nil {
		panic(fmt.Sprint("could not run: ", err))
	}
}
