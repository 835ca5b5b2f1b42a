// Package standin implements test doubles of the external systems of a fleet: the
// platform's object API and VM list, a model engine, a plain service, and the
// baseline router of the benchmarks. Each has a second handler, for a control
// port, that sets fault switches and returns counters.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrBadSwitches reports a control request whose body is invalid for the stand-in.
var ErrBadSwitches = eris.New("standin: bad switches")

// maxControlBytes limits the body of one control request.
const maxControlBytes = 1 << 20

// switchSet holds the fault switches of one stand-in.
type switchSet[S any] struct {
	mu      sync.Mutex
	value   S
	changed chan struct{}
}

func newSwitchSet[S any](value S) *switchSet[S] {
	return &switchSet[S]{value: value, changed: make(chan struct{})}
}

// get returns the switches and a channel that is closed on their next change.
func (s *switchSet[S]) get() (S, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.changed
}

// update applies f to the switches. f reports whether it changed them; if it did,
// update wakes the receivers of get's channel. It returns the result of f.
func (s *switchSet[S]) update(f func(*S) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f(&s.value) {
		return false
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

// merge sets the switches present in the JSON object in r and keeps the others.
func (s *switchSet[S]) merge(r io.Reader) error {
	var err error
	s.update(func(value *S) bool {
		next := *value
		dec := json.NewDecoder(r)
		dec.DisallowUnknownFields()
		if err = dec.Decode(&next); err != nil {
			return false
		}
		*value = next
		return true
	})
	if err != nil {
		return eris.Wrap(ErrBadSwitches, err.Error())
	}
	return nil
}

// ControlState is the response to GET and POST /control.
type ControlState[S, C any] struct {
	Switches S `json:"switches"`
	Counters C `json:"counters"`
}

// controlMux returns a mux that serves GET and POST /control.
func controlMux[S, C any](switches *switchSet[S], counters func() C) *http.ServeMux {
	mux := http.NewServeMux()
	respond := func(w http.ResponseWriter) {
		value, _ := switches.get()
		writeJSON(w, http.StatusOK, ControlState[S, C]{Switches: value, Counters: counters()})
	}
	mux.HandleFunc("GET /control", func(w http.ResponseWriter, _ *http.Request) {
		respond(w)
	})
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		// The body is read first: merge decodes it while it holds the lock.
		body, err := readBody(w, r, maxControlBytes)
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, err.Error())
			return
		}
		if err := switches.merge(body); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		respond(w)
	})
	return mux
}

// sleep waits for d or until the request is cancelled.
func sleep(r *http.Request, d time.Duration) error {
	ctx := r.Context()
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// abortConnection closes the connection without completing the response.
func abortConnection() {
	panic(http.ErrAbortHandler)
}

func milliseconds[N int | int64 | float64](n N) time.Duration {
	return time.Duration(float64(n) * float64(time.Millisecond))
}
