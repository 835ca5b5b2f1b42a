package claim

import "time"

// Action is an output of Partition. Each action except Reply and DeleteSegment
// results in exactly one event.
type Action interface{ action() }

// ReadHead reads the head object.
type ReadHead struct{}

// WriteHead writes the head object if its version is IfVersion. Zero means that
// the object must not exist.
type WriteHead struct {
	Head      Head
	IfVersion Version
}

// ReadSegment reads a sealed segment.
type ReadSegment struct{ Key string }

// WriteSegment creates a sealed segment. If the segment already exists, it has
// the same content and counts as written.
type WriteSegment struct {
	Key     string
	Records []Record
}

// DeleteSegment deletes a segment that no head refers to any more. Its outcome
// is not reported.
type DeleteSegment struct{ Key string }

// Reply completes a submitted operation.
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

// Outcomes of an operation.
const (
	// StatusUnavailable means that the store could not be used. The attempt does
	// not hold the claim: if the claim was recorded nevertheless, it is released
	// later.
	StatusUnavailable Status = iota
	// StatusClaimed means that the attempt holds the claim and the claim is
	// durable.
	StatusClaimed
	// StatusAlreadyClaimed means that another attempt holds the claim.
	StatusAlreadyClaimed
	// StatusKeyReused means that the key was used for a different request.
	StatusKeyReused
	// StatusReleased means that the attempt does not hold the claim and never
	// will again.
	StatusReleased
	// StatusFound means that a lookup found a record.
	StatusFound
	// StatusNotFound means that a lookup found no record.
	StatusNotFound
)

// Result is the outcome of an operation with its details.
type Result struct {
	Status Status
	// Record is the newest record of the key, for StatusAlreadyClaimed,
	// StatusKeyReused and StatusFound.
	Record Record
	// RetryAfter is the time until the store is called again, for
	// StatusUnavailable.
	RetryAfter time.Duration
}
