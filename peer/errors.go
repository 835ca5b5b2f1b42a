package peer

import "github.com/rotisserie/eris"

// Errors of sessions and request streams.
var (
	// ErrClosed reports a closed session or a failed connection.
	ErrClosed = eris.New("peer: session closed")
	// ErrHandshake reports a failed handshake: an I/O error, an invalid hello, a
	// different protocol version, or a peer other than the one dialed.
	ErrHandshake = eris.New("peer: handshake error")
	// ErrMessage reports a malformed, oversized or unexpected message.
	ErrMessage = eris.New("peer: bad message")
	// ErrTruncated reports a stream that ended without an End frame, or a body
	// whose length differs from the length in the End frame.
	ErrTruncated = eris.New("peer: stream truncated")
)
