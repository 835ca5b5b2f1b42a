package quarantine

import "time"

const (
	// evidenceWindow is how far an answer that breaks off and the news of its
	// upstream's crash may lie apart.
	evidenceWindow = 2 * time.Second
	// maxBroken bounds the broken answers remembered of all upstreams.
	maxBroken = 4096
)

// Evidence tells from broken answers which requests were running when upstreams
// crashed. It answers the pattern of upstreams that lose single answers beside
// ones that crash: a broken answer counts only if its upstream is found to be
// failing within evidenceWindow.
type Evidence struct {
	broken []broken
	// crashed holds when the upstreams were found to be failing.
	crashed map[string]time.Time
}

// broken is an answer that broke off.
type broken struct {
	crashID string
	digest  string
	at      time.Time
}

// NewEvidence returns no evidence.
func NewEvidence() *Evidence {
	return &Evidence{crashed: make(map[string]time.Time)}
}

// Broke notes that a request's answer broke off at an upstream whose crash would
// be crashID. It reports whether the upstream has crashed just now.
func (e *Evidence) Broke(now time.Time, crashID, digest string) bool {
	e.expire(now)
	if _, crashed := e.crashed[crashID]; crashed {
		return true
	}
	if len(e.broken) < maxBroken {
		e.broken = append(e.broken, broken{crashID: crashID, digest: digest, at: now})
	}
	return false
}

// Crashed notes that an upstream was found to be failing, and returns the requests
// whose answers have just broken off there.
func (e *Evidence) Crashed(now time.Time, crashID string) []string {
	e.expire(now)
	e.crashed[crashID] = now
	var digests []string
	kept := e.broken[:0]
	for _, b := range e.broken {
		if b.crashID == crashID {
			digests = append(digests, b.digest)
			continue
		}
		kept = append(kept, b)
	}
	e.broken = kept
	return digests
}

// expire forgets what lies back by more than evidenceWindow.
func (e *Evidence) expire(now time.Time) {
	old := 0
	for old < len(e.broken) && now.Sub(e.broken[old].at) > evidenceWindow {
		old++
	}
	e.broken = e.broken[old:]
	for id, at := range e.crashed {
		if now.Sub(at) > evidenceWindow {
			delete(e.crashed, id)
		}
	}
}
