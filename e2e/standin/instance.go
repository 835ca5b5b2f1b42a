package standin

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
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
	ColdCounters
}

// instance is the part that engines and plain services have in common as servers of the
// platform: the identity and the cold phase after a start.
type instance struct {
	// id is the name of the server's registration. Without one the server accepts
	// requests for any server and does not mark its responses.
	id string

	received atomic.Uint64
	cold     ColdMeter
}

func newInstance(id string, cold time.Duration) *instance {
	i := &instance{id: id}
	i.cold.Start(time.Now(), cold)
	return i
}

// coldControl is the body of POST /cold.
type coldControl struct {
	Ms int64 `json:"ms"`
}

func (i *instance) snapshot() InstanceCounters {
	return InstanceCounters{Received: i.received.Load(), ColdCounters: i.cold.Counters()}
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
		i.received.Add(1)
		remaining, _ := i.cold.Receive(time.Now())
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
	i.cold.Start(time.Now(), milliseconds(body.Ms))
	writeJSON(w, http.StatusOK, body)
}
