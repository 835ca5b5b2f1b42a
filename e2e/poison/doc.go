// Package poison tests that a request that crashes every engine that runs it
// takes down at most two, and that the requests beside it are answered.
package poison
