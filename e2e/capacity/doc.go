// Package capacity measures what the processes of a fleet cost: the slopes
// that docs/CAPACITY.md is worked out from.
package capacity
