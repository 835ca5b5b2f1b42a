package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Headers between gateways and the servers of the platform.
const (
	headerAttemptID      = "Attempt-Id"
	headerExpectInstance = "Expect-Instance"
	headerServerSeal     = "Server-Seal"
	headerNotRun         = "Not-Run"
	headerColdMs         = "Cold-Ms"
)

// InstanceCounters counts the requests that an engine or a plain service received,
// without health checks and requests for another server.
type InstanceCounters struct {
	Received uint64 `json:"received"`
	// ColdReceived counts the requests received while cold, ColdPeak is the maximum of
	// them within any second.
	ColdReceived uint64 `json:"cold_received"`
	ColdPeak     int    `json:"cold_peak"`
}

// instance is the part that engines and plain services have in common as servers of the
// platform: the identity and the cold phase after a start.
type instance struct {
	// id is the name of the server's registration. Without one the server accepts
	// requests for any server and does not mark its responses.
	id string

	mu        sync.Mutex
	coldUntil time.Time
	// recent holds the arrival times of the requests received while cold within the
	// last second.
	recent   []time.Time
	counters InstanceCounters
}

// coldControl is the body of POST /cold.
type coldControl struct {
	Ms int64 `json:"ms"`
}

// startCold begins a cold phase.
func (i *instance) startCold(now time.Time, d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.coldUntil = now.Add(d)
}

// receive counts a request and returns how much longer the server is cold.
func (i *instance) receive(now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counters.Received++
	remaining := i.coldUntil.Sub(now)
	if remaining <= 0 {
		return 0
	}
	i.recent = slices.DeleteFunc(i.recent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	i.recent = append(i.recent, now)
	i.counters.ColdReceived++
	i.counters.ColdPeak = max(i.counters.ColdPeak, len(i.recent))
	return remaining
}

func (i *instance) snapshot() InstanceCounters {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.counters
}

// identify returns a handler that rejects requests for another server, counts the others
// and sets the headers that mark their responses.
func (i *instance) identify(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		expected := r.Header.Get(headerExpectInstance)
		if i.id != "" && expected != "" && expected != i.id {
			w.Header().Set(headerNotRun, "other instance")
			writeError(w, http.StatusMisdirectedRequest, "not "+expected)
			return
		}
		remaining := i.receive(time.Now())
		if i.id != "" {
			w.Header().Set(headerAttemptID, r.Header.Get(headerAttemptID))
			w.Header().Set(headerServerSeal, i.id)
		}
		if remaining > 0 {
			w.Header().Set(headerColdMs, strconv.FormatFloat(math.Ceil(remaining.Seconds()*1000), 'f', -1, 64))
		}
		next(w, r)
	}
}

// serveCold handles POST /cold of the control port, which begins a cold phase.
func (i *instance) serveCold(w http.ResponseWriter, r *http.Request) {
	var body coldControl
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes)).Decode(&body); err != nil || body.Ms < 0 {
		writeError(w, http.StatusBadRequest, "ms: want a count of milliseconds")
		return
	}
	i.startCold(time.Now(), milliseconds(body.Ms))
	writeJSON(w, http.StatusOK, body)
}
