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
	// consecutive is set while the IDs of the relayed events are 1, 2, 3 and so on.
	consecutive bool
	// uncertain is set if one of the relayed events may not be the upstream's.
	uncertain bool
}

// advance moves the position to the event with the given ID.
func (p *streamPosition) advance(id int64) {
	first := id == 1 && !p.started
	p.consecutive = first || p.consecutive && id == p.lastID+1
	p.lastID, p.started = id, true
}

// includes reports whether the caller has the event with the given ID.
func (p *streamPosition) includes(id int64) bool { return p.started && id <= p.lastID }

// leavesGap reports whether events are missing if a resumed stream goes on with the given ID.
// IDs may increase in any steps, so that only consecutive ones tell.
func (p *streamPosition) leavesGap(id int64) bool { return p.consecutive && id > p.lastID+1 }

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
	return j.response.stream && j.route.Kind == route.Stream && j.route.Resumable && !j.position.uncertain
}
