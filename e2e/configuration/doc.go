// Package configuration tests that configurations are accepted and adopted
// consistently by all processes.
package configuration
