// Package spec contains Promela models of the core protocols and a test that
// verifies them with Spin.
package spec
