package config

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
)

// Duration is a time span that is written like "250ms" or "1m30s".
type Duration time.Duration

// durationExpected tells how a Duration is written.
const durationExpected = "a duration such as 250ms or 1m30s"

// Std returns the span as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the span as it is written.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText writes the span.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads a span. Negative spans are refused.
func (d *Duration) UnmarshalText(text []byte) error {
	span, err := time.ParseDuration(string(text))
	if err != nil || span < 0 {
		return eris.Errorf("expected %s, got %q", durationExpected, text)
	}
	*d = Duration(span)
	return nil
}

// UnmarshalYAML reads a span and keeps the place of a malformed one.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	if d.UnmarshalText([]byte(node.GetToken().Value)) != nil {
		return expectedError{&yaml.SyntaxError{Message: durationExpected, Token: node.GetToken()}}
	}
	return nil
}

// expectedError is a yaml.Error whose message tells what was expected.
type expectedError struct {
	*yaml.SyntaxError
}
