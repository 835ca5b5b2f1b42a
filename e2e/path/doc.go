// Package path tests the full path of a request from client to upstream through
// router and sidecar processes.
package path
