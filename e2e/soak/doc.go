// Package soak runs gateway processes under load and injected faults. From the
// requests that callers and upstreams record it verifies that retries stay within
// the budget, teams get their fair share, non-idempotent requests run at most once,
// no request that was refused as not run has run, and each answer and piece of a stream
// is what a run of its request made. No process may end by itself. At each arrival it verifies that
// requests stay in their home regions, that evacuated upstreams receive nothing, and
// that cold ones receive no more than the bound.
package soak
