// Package configuration tests how configurations are accepted and adopted.
package configuration
