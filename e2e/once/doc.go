// Package once tests that a non-idempotent request runs at most once, and that
// no answer says otherwise, while processes, links and the platform fail.
package once
