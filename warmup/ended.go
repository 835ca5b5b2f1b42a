package warmup

import "time"

// EndCause is why a router no longer heeds what an upstream said of itself.
type EndCause string

// Causes of an end.
const (
	// StartedAgain means that a later incarnation of the upstream is registered.
	StartedAgain EndCause = "started_again"
	// Forgotten means that the upstream is not registered any more, and its pause is long over or
	// there was no room.
	Forgotten EndCause = "forgotten"
)

// Said is what an upstream said of itself.
type Said string

// What upstreams say.
const (
	SaidLeaving Said = "leaving"
	SaidPause   Said = "pause"
)

// Ended is something that an upstream said and that no longer keeps requests from it.
type Ended struct {
	Said     Said
	Upstream Upstream
	HeardAt  time.Time
	Cause    EndCause
	// RegisteredStartUnixMs is the start of the registered incarnation; zero if none is
	// registered.
	RegisteredStartUnixMs int64
}

// maxEnded bounds the ends that wait for TakeEnded.
const maxEnded = 1024

// recordEnd records why something that an upstream said ended.
func (t *Tracker) recordEnd(said Said, u Upstream, heardAt time.Time, cause EndCause) {
	if len(t.ended) < maxEnded {
		t.ended = append(t.ended, Ended{
			Said: said, Upstream: u, HeardAt: heardAt, Cause: cause, RegisteredStartUnixMs: t.registered[u.ID],
		})
	}
}

// TakeEnded returns what has ended since the previous call.
func (t *Tracker) TakeEnded() []Ended {
	ended := t.ended
	t.ended = nil
	return ended
}
