package eventstream

import (
	"bytes"
	"errors"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

var (
	// ErrUnsound reports a block of a stream that is not an event of that stream.
	ErrUnsound = eris.New("eventstream: not an event of the stream")
	// ErrOrder reports an event whose id does not increase. It or an event before it is not
	// one of the stream.
	ErrOrder = eris.New("eventstream: ids out of order")
)

// IsCorrupt reports whether an error of this package, possibly wrapped, states that a stream
// holds bytes that are not its own.
func IsCorrupt(err error) bool {
	return errors.Is(err, ErrUnsound) || errors.Is(err, ErrOrder) || errors.Is(err, ErrTooLong)
}

// Contract states what the events of a stream look like beyond the rules of the format.
type Contract struct {
	// Numbered requires a numeric id of each event, and that ids increase.
	Numbered bool
	// NumericField is the name of an additional field that may be the first line of an
	// event; its value is a decimal number. Empty for none.
	NumericField string
}

// Checker decides whether the blocks of one response are events that follow its contract.
// It detects bytes that were inserted into a stream whose framing is intact.
type Checker struct {
	contract Contract
	lastID   int64
	// numbered is set once an event with an id was checked.
	numbered bool
}

// NewChecker returns a checker for the blocks of one response.
func NewChecker(contract Contract) *Checker { return &Checker{contract: contract} }

// Check returns ErrUnsound, ErrOrder or ErrTooLong if the block is not an event, comment or
// reconnection time that may come next in the stream. Blocks have to be passed in order.
func (c *Checker) Check(e Event) error {
	if e.fields.tooLong {
		return ErrTooLong
	}
	if !utf8.Valid(e.Raw) || bytes.IndexByte(e.Raw, 0) >= 0 {
		return eris.Wrap(ErrUnsound, "bytes that are not text")
	}
	if e.fields.badRetry {
		return eris.Wrap(ErrUnsound, "reconnection time that is not a number")
	}
	if e.fields.others > 0 && !c.allowsOther(&e.fields) {
		return eris.Wrap(ErrUnsound, "unknown field")
	}
	return c.checkFields(e)
}

func (c *Checker) allowsOther(f *fields) bool {
	return f.others == 1 && f.leading != "" && f.leading == c.contract.NumericField
}

func (c *Checker) checkFields(e Event) error {
	f := &e.fields
	switch {
	case !f.data && (f.event || f.others > 0 || f.ids > 0):
		// An id without data would make a resumed stream skip an event that never came.
		return eris.Wrap(ErrUnsound, "event without data")
	case !f.data, !c.contract.Numbered:
		return nil
	case f.ids != 1:
		return eris.Wrapf(ErrUnsound, "event with %d ids", f.ids)
	case !f.hasID || !f.decimal:
		return eris.Wrap(ErrUnsound, "id that is not a number")
	case c.numbered && e.ID <= c.lastID:
		return eris.Wrapf(ErrOrder, "id %d after %d", e.ID, c.lastID)
	}
	c.lastID, c.numbered = e.ID, true
	return nil
}
