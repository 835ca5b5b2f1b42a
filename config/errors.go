package config

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of the package.
var (
	// ErrInvalid reports a malformed or contradictory document.
	ErrInvalid = eris.New("config: invalid")
	// ErrTooLarge reports a document over its size limit.
	ErrTooLarge = eris.New("config: too large")
	// ErrConflict reports that another change was accepted first. The error
	// is a *ConflictError.
	ErrConflict = eris.New("config: conflicting change")
	// ErrOutcomeUnknown reports that the platform's answer to the acceptance
	// was lost and could not be settled by reading back.
	ErrOutcomeUnknown = eris.New("config: outcome of the change is unknown")
	// ErrNotAccepted reports that the platform failed before the acceptance:
	// the change is not in force and will not be.
	ErrNotAccepted = eris.New("config: not accepted")
	// ErrNoConfiguration reports that no configuration was ever accepted.
	ErrNoConfiguration = eris.New("config: nothing accepted yet")
	// ErrCorrupt reports a head or shard whose content does not fit its hash,
	// or another head of a generation that is held.
	ErrCorrupt = eris.New("config: corrupt")
)

// ConflictError tells what was accepted since the base of a refused change.
type ConflictError struct {
	// Current is the generation in force.
	Current uint64
	// Changes lead from the base to the current generation.
	Changes []Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: conflicting change: generation %d is in force (%d changes since the base)", e.Current, len(e.Changes))
}

// Is makes errors.Is find ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}
