// Package bench measures a fleet of real processes on stand-ins: how fairly
// teams are served, how busy the upstreams are kept, what the control traffic
// costs and what the routers add to the time to the first token. A baseline of
// first in, first out selection and early binding runs beside it under the same
// load.
package bench

import "github.com/rotisserie/eris"

// Errors of the package.
var (
	// ErrRun reports a scenario that could not be run.
	ErrRun = eris.New("bench: run failed")
	// ErrFigures reports figures that can't be read or written.
	ErrFigures = eris.New("bench: figures")
)
