package upstream

import "github.com/rotisserie/eris"

// Errors of calls to an upstream.
var (
	// ErrNotSent reports a call that failed before any of it was sent: the
	// upstream did not run it.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrWithdrawn reports a call that was given up before any of it was sent, for
	// a reason that says nothing of the upstream's health: it left, nobody waits for
	// the answer any more, or this process was late itself.
	ErrWithdrawn = eris.New("upstream: request withdrawn")
	// ErrInterrupted reports a call that failed after it may have been received.
	ErrInterrupted = eris.New("upstream: answer broken off")
	// ErrIdle reports an upstream that sent nothing for the idle timeout.
	ErrIdle = eris.New("upstream: idle timeout")
)
