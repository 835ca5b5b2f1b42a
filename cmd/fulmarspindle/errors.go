package main

import (
	"errors"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/operator"
)

// errNoCommand reports that the command line names no command.
var errNoCommand = eris.New("no command")

// exitCode maps an error to the exit code of the process.
func exitCode(err error) int {
	if errors.Is(err, config.ErrInvalid) || errors.Is(err, operator.ErrInvalid) {
		return exitUsage
	}
	return exitFailure
}
