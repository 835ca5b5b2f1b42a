package eventstream

import (
	"bytes"
	"strconv"
)

// Field names of an event.
const (
	fieldData  = "data"
	fieldEvent = "event"
	fieldID    = "id"
	fieldRetry = "retry"
)

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\uFEFF")

// fields describe the lines of a block. They refer to no bytes of the buffer, which may move
// before the block is complete.
type fields struct {
	// count is the number of lines that are not comments.
	count int
	data  bool
	event bool
	// ids is the number of ids, and id the last one. hasID is set if that is a number, and
	// decimal if it has digits only.
	ids     int
	id      int64
	hasID   bool
	decimal bool
	// badRetry is set if a reconnection time is not a number.
	badRetry bool
	// others is the number of fields that the format does not define. leading is the name of
	// such a field if it is the block's first one and has a number.
	others  int
	leading string
	// tooLong is set if the block exceeds the splitter's limit.
	tooLong bool
}

// add records a line that is not empty.
func (f *fields) add(line []byte) {
	if line[0] == ':' {
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	f.count++
	switch string(name) {
	case fieldData:
		f.data = true
	case fieldEvent:
		f.event = true
	case fieldID:
		f.addID(value)
	case fieldRetry:
		f.badRetry = f.badRetry || !isDecimal(value)
	default:
		f.addOther(name, value)
	}
}

func (f *fields) addID(value []byte) {
	f.ids++
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	f.hasID, f.decimal = err == nil, isDecimal(value)
	f.id = 0
	if f.hasID {
		f.id = id
	}
}

func (f *fields) addOther(name, value []byte) {
	f.others++
	if f.count == 1 && isDecimal(value) {
		f.leading = string(name)
	}
}

func isDecimal(value []byte) bool {
	for _, b := range value {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(value) > 0
}
