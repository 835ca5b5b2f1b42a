package main

import (
	"errors"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/operator"
)

// errNoCommand reports a command line without a subcommand.
var errNoCommand = eris.New("no subcommand")

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	if errors.Is(err, config.ErrInvalid) || errors.Is(err, operator.ErrInvalid) {
		return exitUsage
	}
	return exitFailure
}
