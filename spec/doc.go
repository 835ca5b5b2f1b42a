// Package spec holds Promela models of the core protocols and the test that
// runs them through spin.
package spec
