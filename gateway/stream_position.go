package gateway

import (
	"strconv"

	"fulmarspindle.example/fulmarspindle/route"
)

// streamPosition is the position up to which the caller has a stream.
type streamPosition struct {
	lastID int64
	// started is set once the caller has an event with an ID.
	started bool
	// uncertain is set if one of the relayed events may not be the upstream's.
	uncertain bool
}

// advance moves the position to the event with the given ID.
func (p *streamPosition) advance(id int64) {
	p.lastID, p.started = id, true
}

// includes reports whether the caller has the event with the given ID.
func (p *streamPosition) includes(id int64) bool { return p.started && id <= p.lastID }

// resumeAfter returns the ID of the last event that the caller has; empty if there is none.
func (j *job) resumeAfter() string {
	if !j.position.started {
		return ""
	}
	return strconv.FormatInt(j.position.lastID, 10)
}

// canContinue reports whether another upstream may continue the response to the caller.
func (j *job) canContinue() bool {
	if !j.response.started {
		return true
	}
	return j.route.Kind == route.Stream && j.route.Resumable && !j.position.uncertain
}
