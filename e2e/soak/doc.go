// Package soak runs gateways as real processes under load and faults, and checks
// from what callers and upstreams see that the promises hold: retries stay within
// the budget, teams get their share, orders run once, refusals are true.
package soak
