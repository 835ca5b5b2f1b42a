package upstream

import "github.com/rotisserie/eris"

// Errors of calls to an upstream.
var (
	// ErrNotSent reports a call that failed before any byte was sent: the
	// upstream did not run it.
	ErrNotSent = eris.New("upstream: request not sent")
	// ErrWithdrawn reports a call that was abandoned before any byte was sent, for
	// a reason unrelated to the upstream's health: the upstream was removed, the
	// caller has gone, or this process was delayed.
	ErrWithdrawn = eris.New("upstream: request withdrawn")
	// ErrInterrupted reports a call that failed after the upstream may have
	// received it.
	ErrInterrupted = eris.New("upstream: answer broken off")
	// errUnsolicited reports a connection that was closed or on which bytes arrived before
	// the request was sent.
	errUnsolicited = eris.New("upstream: connection not idle before the request")
	// errForeign reports a response that does not belong to the request.
	errForeign = eris.New("upstream: response does not belong to the request")
	// errUnattributed reports a refusal without an id among other responses: whether the
	// request runs is unknown.
	errUnattributed = eris.New("upstream: refusal without an id among other responses")
	// ErrUnsound reports a stream in which the upstream sent something that is no event. What
	// follows can't be told from what was inserted.
	ErrUnsound = eris.New("upstream: not an event of the stream")
	// ErrIdle reports an upstream that sent no data within the idle timeout.
	ErrIdle = eris.New("upstream: idle timeout")
)
