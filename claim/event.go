package claim

import "time"

// Op is an operation on a claim.
type Op int

// Operations.
const (
	// OpClaim records a claim if the key has none.
	OpClaim Op = iota
	// OpRelease marks the claim of an attempt that did not run and never will.
	OpRelease
	// OpLookup reads the newest record of a key.
	OpLookup
)

// WaiterID identifies a submitted operation. Zero stands for no waiter.
type WaiterID uint64

// Event is an input of Partition.
type Event interface{ event() }

// Submit adds an operation. Record.Scope and, except for OpLookup,
// Record.Attempt are set.
type Submit struct {
	Op     Op
	Record Record
	Waiter WaiterID
}

// SetRetention changes the age at which sealed segments are dropped. A value
// that is not positive is ignored.
type SetRetention struct{ Retention time.Duration }

// ReadDone answers ReadHead. An absent head has version zero.
type ReadDone struct {
	Head     Head
	Version  Version
	Modified time.Time
}

// ReadFailed answers ReadHead when the store could not be read.
type ReadFailed struct{}

// SegmentRead answers ReadSegment.
type SegmentRead struct {
	Key     string
	Records []Record
}

// SegmentMissing answers ReadSegment when the segment was deleted.
type SegmentMissing struct{ Key string }

// SegmentReadFailed answers ReadSegment when the store could not be read.
type SegmentReadFailed struct{ Key string }

// SegmentWritten answers WriteSegment. The segment exists.
type SegmentWritten struct{ Key string }

// SegmentWriteFailed answers WriteSegment. The segment may exist.
type SegmentWriteFailed struct{ Key string }

// WriteDone answers WriteHead. The write was applied.
type WriteDone struct{ Version Version }

// WriteConflict answers WriteHead. The write was not applied.
type WriteConflict struct{}

// WriteUnknown answers WriteHead. The write was or was not applied, or may be
// applied later while its condition holds.
type WriteUnknown struct{}

// WriteUnavailable answers WriteHead. The write was not applied.
type WriteUnavailable struct{}

// Tick reports that the time of NextWake has come.
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
