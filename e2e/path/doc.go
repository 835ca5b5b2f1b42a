// Package path tests the whole path of a request through real processes.
package path
