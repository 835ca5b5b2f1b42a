//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a server.
type arrival struct {
	at     time.Time
	server string
	zone   string
	id     string
	ran    bool
}

// arrivals collects what reached all servers.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(one arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, one)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// serverStandIn is a server of a service. It registers itself in the store.
type serverStandIn struct {
	fleet   *testFleet
	service string
	address string
	zone    string
	slots   int
	work    time.Duration

	mu sync.Mutex
	// id and born identify the incarnation. up is unset while it is down.
	id       string
	born     int64
	up       bool
	draining bool
	http     *http.Server
	running  atomic.Int64
}

var instances atomic.Int64

// start begins a new incarnation.
func (s *serverStandIn) start() error {
	ln, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.id = fmt.Sprintf("i-%04x%s", instances.Add(1)*40503%65536, strings.ReplaceAll(s.zone, "-", ""))
	s.born = time.Now().UnixMilli()
	s.up, s.draining = true, false
	s.http = &http.Server{Handler: s}
	go func(server *http.Server) { _ = server.Serve(ln) }(s.http)
	go s.beat(s.id)
	s.fleet.rec.logf("server %s of %s starts at %s in %s", s.id, s.service, s.address, s.zone)
	return nil
}

// identity returns the incarnation's identifier and whether it drains.
func (s *serverStandIn) identity() (id string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id, s.draining
}

// register writes the entry. It returns the revision, and false while the store is away.
func (s *serverStandIn) register() (uint64, bool) {
	s.mu.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	id, spec := s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 0, "born": s.born,
	}
	s.mu.Unlock()
	return s.fleet.store.put("servers", id, spec)
}

// beat registers the incarnation about every heartbeat interval until it ends.
func (s *serverStandIn) beat(id string) {
	for {
		s.mu.Lock()
		current := s.up && s.id == id
		s.mu.Unlock()
		if !current {
			return
		}
		s.register()
		time.Sleep(s.fleet.heartbeat)
	}
}

// drain reports that the server is leaving.
func (s *serverStandIn) drain() (time.Time, bool) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	revision, ok := s.register()
	s.fleet.rec.logf("server %s reports draining, acknowledged=%t revision=%d", s.id, ok, revision)
	return time.Now(), ok
}

func (s *serverStandIn) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	if s.http != nil {
		_ = s.http.Close()
	}
}

// ServeHTTP implements http.Handler.
func (s *serverStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, draining := s.identity()
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", id)
	if draining {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case r.URL.Path == "/healthz":
		if draining {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case r.Header.Get("Expect-Instance") != id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case attempt == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	_, _ = io.Copy(io.Discard, r.Body)
	one := arrival{at: time.Now(), server: id, zone: s.zone, id: attempt, ran: true}
	defer s.running.Add(-1)
	if s.running.Add(1) > int64(s.slots) {
		one.ran = false
		s.fleet.arrivals.add(one)
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.fleet.arrivals.add(one)
	s.fleet.rec.logf("server %s in %s gets %s %s, draining=%t", id, s.zone, attempt, r.URL.Path, draining)
	time.Sleep(s.work)
	w.Header().Set("Server-Seal", "seal-"+attempt)
	fmt.Fprintf(w, "answer of %s to %s", id, attempt)
}
