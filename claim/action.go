package claim

import "time"

// Action is an output of Partition. Every action but Reply and DeleteSegment is
// answered by exactly one event.
type Action interface{ action() }

// ReadHead reads the head object.
type ReadHead struct{}

// WriteHead writes the head object if its version is IfVersion. Zero stands
// for an absent object.
type WriteHead struct {
	Head      Head
	IfVersion Version
}

// ReadSegment reads a sealed segment.
type ReadSegment struct{ Key string }

// WriteSegment writes a sealed segment if it is absent. A segment that exists
// already is equal and counts as written.
type WriteSegment struct {
	Key     string
	Records []Record
}

// DeleteSegment deletes a segment that no head refers to any more. It is not
// answered.
type DeleteSegment struct{ Key string }

// Reply ends a submitted operation.
type Reply struct {
	Waiter WaiterID
	Result Result
}

func (ReadHead) action()      {}
func (WriteHead) action()     {}
func (ReadSegment) action()   {}
func (WriteSegment) action()  {}
func (DeleteSegment) action() {}
func (Reply) action()         {}

// Status is the outcome of an operation.
type Status int

// Outcomes.
const (
	// StatusUnavailable means that the store could not be used. A claim is not
	// held: if it was recorded all the same, it is released later.
	StatusUnavailable Status = iota
	// StatusClaimed means that the claim is durable and held by the attempt.
	StatusClaimed
	// StatusAlreadyClaimed means that another attempt holds the claim.
	StatusAlreadyClaimed
	// StatusKeyReused means that the key was used for another request.
	StatusKeyReused
	// StatusReleased means that the attempt does not hold the claim and never
	// will again.
	StatusReleased
	// StatusFound means that a lookup found a record.
	StatusFound
	// StatusNotFound means that a lookup found no record.
	StatusNotFound
)

// Result is the outcome of an operation.
type Result struct {
	Status Status
	// Record is the newest record of the key, for StatusAlreadyClaimed,
	// StatusKeyReused and StatusFound.
	Record Record
	// RetryAfter tells when the store is tried again, for StatusUnavailable.
	RetryAfter time.Duration
}
