package eventstream

import (
	"bytes"
	"strconv"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// ErrUnsound reports a block of a stream that is not an event of that stream.
var ErrUnsound = eris.New("eventstream: not an event of the stream")

// Field names of an event (WHATWG HTML, section 9.2.6).
const (
	fieldData  = "data"
	fieldEvent = "event"
	fieldID    = "id"
	fieldRetry = "retry"
)

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\uFEFF")

// Contract states what the events of a stream have to look like beyond the format's own
// rules.
type Contract struct {
	// Numbered requires a numeric id of each event with data, and that ids increase.
	Numbered bool
	// NumericField is the name of an additional field that may be the first line of an
	// event; its value is a decimal number. Empty for none.
	NumericField string
}

// Checker decides whether the blocks of one stream are events that follow its contract.
// It detects bytes that were inserted into a stream whose framing is intact.
type Checker struct {
	contract Contract
	begun    bool
	lastID   int64
	hasLast  bool
}

// NewChecker returns a checker for the events of one response.
func NewChecker(contract Contract) *Checker { return &Checker{contract: contract} }

// fields are what was found in the lines of a block.
type fields struct {
	lines   int
	data    bool
	event   bool
	numeric bool
	id      string
	ids     int
}

// Check returns ErrUnsound if the block is not an event, comment or reconnection time that
// may come next in the stream. Blocks have to be passed in order.
func (c *Checker) Check(e Event) error {
	raw := e.Raw
	if !c.begun {
		raw = bytes.TrimPrefix(raw, byteOrderMark)
		c.begun = true
	}
	if !utf8.Valid(raw) || bytes.IndexByte(raw, 0) >= 0 {
		return eris.Wrap(ErrUnsound, "bytes that are not text")
	}
	var found fields
	for len(raw) > 0 {
		var line []byte
		line, raw = cutLine(raw)
		if err := c.checkLine(line, &found); err != nil {
			return err
		}
	}
	return c.checkFields(&found)
}

// cutLine returns the first line without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	length, end := lineEnd(b)
	if end < 0 {
		return b, nil
	}
	return b[:length], b[end:]
}

func (c *Checker) checkLine(line []byte, found *fields) error {
	if len(line) == 0 || line[0] == ':' {
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	found.lines++
	switch string(name) {
	case fieldData:
		found.data = true
	case fieldEvent:
		found.event = true
	case fieldID:
		found.ids++
		found.id = string(value)
	case fieldRetry:
		if !isDecimal(value) {
			return eris.Wrap(ErrUnsound, "reconnection time that is not a number")
		}
	default:
		return c.checkNumericField(name, value, found)
	}
	return nil
}

func (c *Checker) checkNumericField(name, value []byte, found *fields) error {
	if c.contract.NumericField == "" || string(name) != c.contract.NumericField {
		return eris.Wrap(ErrUnsound, "unknown field")
	}
	if found.lines > 1 || !isDecimal(value) {
		return eris.Wrapf(ErrUnsound, "field %s out of place or without a number", name)
	}
	found.numeric = true
	return nil
}

// checkFields checks the fields of a whole block.
func (c *Checker) checkFields(found *fields) error {
	switch {
	case !found.data && (found.event || found.numeric || found.ids > 0):
		// An id without data would let the next upstream skip an event that never came.
		return eris.Wrap(ErrUnsound, "event without data")
	case !found.data, !c.contract.Numbered:
		return nil
	case found.ids != 1:
		return eris.Wrapf(ErrUnsound, "event with %d ids", found.ids)
	}
	id, err := strconv.ParseInt(found.id, 10, 64)
	if err != nil || !isDecimal([]byte(found.id)) {
		return eris.Wrap(ErrUnsound, "id that is not a number")
	}
	if c.hasLast && id <= c.lastID {
		return eris.Wrapf(ErrUnsound, "id %d after %d", id, c.lastID)
	}
	c.lastID, c.hasLast = id, true
	return nil
}

func isDecimal(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}
