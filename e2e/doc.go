// Package e2e holds the tests that run real processes against stand-ins.
package e2e
