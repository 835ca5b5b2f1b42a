package config

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of the package.
var (
	// ErrInvalid reports a malformed or inconsistent document.
	ErrInvalid = eris.New("config: invalid")
	// ErrTooLarge reports a document that exceeds its size limit.
	ErrTooLarge = eris.New("config: too large")
	// ErrConflict reports that another change was accepted first. The returned
	// error is a *ConflictError.
	ErrConflict = eris.New("config: conflicting change")
	// ErrOutcomeUnknown reports that the platform's response to the acceptance
	// was lost and that the outcome could not be determined by reading the head.
	ErrOutcomeUnknown = eris.New("config: outcome of the change is unknown")
	// ErrNotAccepted reports that the platform failed before the acceptance:
	// the change is not in force and will not take effect later.
	ErrNotAccepted = eris.New("config: not accepted")
	// ErrNoConfiguration reports that no configuration has been accepted yet.
	ErrNoConfiguration = eris.New("config: nothing accepted yet")
	// ErrCorrupt reports a malformed head, a missing or malformed shard, a shard
	// that does not match its hash, or two different heads of one generation.
	ErrCorrupt = eris.New("config: corrupt")
)

// ConflictError holds the changes accepted since the base of a rejected change.
type ConflictError struct {
	// Current is the generation in force.
	Current uint64
	// Changes are the changes from the base to the current generation. It is empty
	// if the base is no longer stored.
	Changes []Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflicting change: generation %d is in force (%d changes since the base)", e.Current, len(e.Changes))
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
