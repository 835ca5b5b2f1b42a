//go:build review

// Package lab holds what the scripts of the review share: a runner for the gateway's
// processes, and stand-ins for the platform's store, its servers and its clients that
// follow the users' pages. It uses the standard library only.
package lab
