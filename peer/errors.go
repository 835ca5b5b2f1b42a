package peer

import "github.com/rotisserie/eris"

// Errors of the links between routers and sidecars.
var (
	// ErrClosed reports that a session is closed.
	ErrClosed = eris.New("peer: session closed")
	// ErrHandshake reports a peer that is foreign, of another protocol
	// version, or not the one that was dialed.
	ErrHandshake = eris.New("peer: handshake refused")
	// ErrMessage reports a message that is malformed or too large.
	ErrMessage = eris.New("peer: bad message")
	// ErrTruncated reports a stream that ended without its End frame, or
	// whose length differs from the one that End states.
	ErrTruncated = eris.New("peer: stream truncated")
)
