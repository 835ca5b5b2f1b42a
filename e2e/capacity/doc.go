// Package capacity measures the processor time, memory and traffic of the
// processes of a fleet. docs/CAPACITY.md is computed from its results.
package capacity
