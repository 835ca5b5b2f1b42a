// Package answers tests that a caller gets its own whole answer, or a visible
// break or refusal, while engines, sidecars and links fail.
package answers
