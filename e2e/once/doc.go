// Package once tests that a non-idempotent request runs at most once, and that the
// outcomes reported to callers are correct, while processes, links and the
// platform fail.
package once
