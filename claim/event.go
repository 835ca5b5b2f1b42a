package claim

import "time"

// Op is an operation on a claim.
type Op int

// Operations.
const (
	// OpClaim records a claim if the key has none.
	OpClaim Op = iota
	// OpRelease marks a claim as released: its attempt did not run and never will.
	OpRelease
	// OpLookup reads the newest record of a key.
	OpLookup
)

// WaiterID identifies the caller that waits for an operation. Zero means that no
// caller waits.
type WaiterID uint64

// Event is an input of Partition.
type Event interface{ event() }

// Submit adds an operation. OpClaim needs a complete Record, OpRelease only its
// Scope and Attempt, and OpLookup only its Scope.
type Submit struct {
	Op     Op
	Record Record
	Waiter WaiterID
}

// SetRetention changes the age at which sealed segments are dropped. A value
// that is not positive is ignored.
type SetRetention struct{ Retention time.Duration }

// ReadDone is the result of a ReadHead that succeeded. If the head does not
// exist, Version is zero.
type ReadDone struct {
	Head     Head
	Version  Version
	Modified time.Time
}

// ReadFailed is the result of a ReadHead that could not read or decode the head.
type ReadFailed struct{}

// SegmentRead is the result of a ReadSegment that succeeded.
type SegmentRead struct {
	Key     string
	Records []Record
}

// SegmentMissing is the result of a ReadSegment of a deleted segment.
type SegmentMissing struct{ Key string }

// SegmentReadFailed is the result of a ReadSegment that could not read or decode
// the segment.
type SegmentReadFailed struct{ Key string }

// SegmentWritten is the result of a WriteSegment after which the segment exists.
type SegmentWritten struct{ Key string }

// SegmentWriteFailed is the result of a WriteSegment that failed. The segment
// may exist nevertheless.
type SegmentWriteFailed struct{ Key string }

// WriteDone is the result of a WriteHead that was applied.
type WriteDone struct{ Version Version }

// WriteConflict is the result of a WriteHead that was not applied because the
// head has another version.
type WriteConflict struct{}

// WriteUnknown is the result of a WriteHead whose outcome is unknown. The write
// may have been applied, or may still be applied while its condition holds.
type WriteUnknown struct{}

// WriteUnavailable is the result of a WriteHead that was not applied because the
// store was unavailable or did not accept the value.
type WriteUnavailable struct{}

// Tick reports that the time returned by NextWake has been reached.
type Tick struct{}

func (SetRetention) event()       {}
func (Submit) event()             {}
func (ReadDone) event()           {}
func (ReadFailed) event()         {}
func (SegmentRead) event()        {}
func (SegmentMissing) event()     {}
func (SegmentReadFailed) event()  {}
func (SegmentWritten) event()     {}
func (SegmentWriteFailed) event() {}
func (WriteDone) event()          {}
func (WriteConflict) event()      {}
func (WriteUnknown) event()       {}
func (WriteUnavailable) event()   {}
func (Tick) event()               {}
