package config

import (
	"bytes"
	"fmt"
)

// InvalidError lists what is wrong with a document. errors.Is finds ErrInvalid.
type InvalidError struct {
	// Document is the file's base name, or "inventory".
	Document string
	Issues   []Issue
}

// Issue is a fault of a document.
type Issue struct {
	// Line is zero if the fault has no place in the document.
	Line int
	// Key is a path such as "upstreams[3].service".
	Key      string
	Expected string
	// Got is the value found; empty if absent or of no use.
	Got string
}

// String returns "line: key: expected ..., got ...".
func (i Issue) String() string {
	text := fmt.Sprintf("%d: ", i.Line)
	if i.Key != "" {
		text += i.Key + ": "
	}
	text += "expected " + i.Expected
	if i.Got != "" {
		text += fmt.Sprintf(", got %q", i.Got)
	}
	return text
}

func newInvalidError(name string, issues ...Issue) *InvalidError {
	return &InvalidError{Document: name, Issues: issues}
}

// Error returns a line for each issue.
func (e *InvalidError) Error() string {
	var text bytes.Buffer
	for i, is := range e.Issues {
		if i > 0 {
			text.WriteByte('\n')
		}
		fmt.Fprintf(&text, "config: %s:%s", e.Document, is)
	}
	return text.String()
}

// Is makes errors.Is find ErrInvalid.
func (e *InvalidError) Is(target error) bool {
	return target == ErrInvalid
}
