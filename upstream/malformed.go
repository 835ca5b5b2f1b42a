package upstream

import (
	"errors"
	"io"
	"net"

	"github.com/rotisserie/eris"
)

// malformedError is an ErrInterrupted whose cause is that the upstream sent bytes that are no
// response. The upstream runs, unlike one whose connection ended.
type malformedError struct{ reason string }

// Error implements error.
func (e *malformedError) Error() string { return e.reason + ": " + ErrInterrupted.Error() }

// Unwrap makes the error an ErrInterrupted.
func (e *malformedError) Unwrap() error { return ErrInterrupted }

// IsMalformed reports whether a call was interrupted because the upstream sent bytes that are
// no response.
func IsMalformed(err error) bool {
	var malformed *malformedError
	return errors.As(err, &malformed)
}

// interrupted returns the ErrInterrupted for an error while a response was read.
func interrupted(err error) error {
	if isConnectionError(err) || errors.Is(err, errForeign) || errors.Is(err, errUnattributed) {
		return eris.Wrap(ErrInterrupted, err.Error())
	}
	return &malformedError{reason: err.Error()}
}

// isConnectionError reports whether an error is that of the connection. All others are errors
// of the format, for which net/http has no common type.
func isConnectionError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}
