package config

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is encoded as text, such as "250ms" or "1m30s".
type Duration time.Duration

// durationExpected describes the format of a Duration in errors.
const durationExpected = "a duration such as 250ms or 1m30s"

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// String returns the text form of d.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 {
		return eris.Errorf("expected %s, got %q", durationExpected, text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalYAML implements yaml.NodeUnmarshaler. Its errors hold the position of the
// malformed value.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	if d.UnmarshalText([]byte(node.GetToken().Value)) != nil {
		return expectedError{&yaml.SyntaxError{Message: durationExpected, Token: node.GetToken()}}
	}
	return nil
}

// expectedError is a yaml.Error whose message describes the expected value.
type expectedError struct {
	*yaml.SyntaxError
}
