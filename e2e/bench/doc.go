// Package bench measures a fleet of router and sidecar processes in front of
// stand-in upstreams: the fairness between teams, the utilisation of the
// upstreams, the volume of control traffic, and the latency that the routers add
// to the first token. A baseline router with first-in, first-out queueing and
// early binding can run at the same time under the same load.
package bench

import "github.com/rotisserie/eris"

// Errors of the package.
var (
	// ErrRun reports a scenario that failed to run.
	ErrRun = eris.New("bench: run failed")
	// ErrFigures reports figures that can't be read or written.
	ErrFigures = eris.New("bench: reading or writing figures failed")
)
