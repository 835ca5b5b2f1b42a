// Package membership tests how upstreams leave the fleet and return to it.
package membership
