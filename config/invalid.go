package config

import (
	"bytes"
	"fmt"
)

// InvalidError reports the issues of an invalid document. It matches ErrInvalid.
type InvalidError struct {
	// Document is the file's base name, or "inventory".
	Document string
	Issues   []Issue
}

// Issue is a violated requirement of a document.
type Issue struct {
	// Line is zero if the line is unknown.
	Line int
	// Key is a path such as "upstreams[3].service".
	Key      string
	Expected string
	// Got is the offending value; empty if unknown, missing or not a scalar.
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

// Error returns one line per issue.
func (e *InvalidError) Error() string {
	var text bytes.Buffer
	for i, issue := range e.Issues {
		if i > 0 {
			text.WriteByte('\n')
		}
		fmt.Fprintf(&text, "config: %s:%s", e.Document, issue)
	}
	return text.String()
}

// Is reports whether target is ErrInvalid.
func (e *InvalidError) Is(target error) bool {
	return target == ErrInvalid
}
