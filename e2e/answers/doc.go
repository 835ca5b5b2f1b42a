// Package answers tests that a caller gets its own complete response, a stream
// that is visibly cut off, or an error, while engines, sidecars and links fail.
package answers
