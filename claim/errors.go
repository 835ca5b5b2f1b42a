package claim

import "github.com/rotisserie/eris"

var (
	// ErrKeyReused reports that the scope key was used for a different request.
	ErrKeyReused = eris.New("claim: idempotency key was used for another request")
	// ErrUnavailable reports that the claim could not be recorded. The attempt
	// must not be dispatched.
	ErrUnavailable = eris.New("claim: store unavailable")
	// ErrInvalidRecord reports a record with an empty or oversized field.
	ErrInvalidRecord = eris.New("claim: invalid record")
	// ErrNotClaimed reports that no claim is recorded for a scope key.
	ErrNotClaimed = eris.New("claim: no such claim")
	// ErrClosed reports a call to a closed Committer.
	ErrClosed = eris.New("claim: committer closed")
	// ErrCorrupt reports a stored object that cannot be decoded.
	ErrCorrupt = eris.New("claim: corrupt object")
	// ErrTooManyAttempts reports that the limit of running attempts is reached.
	ErrTooManyAttempts = eris.New("claim: too many running attempts")
)
