// Package peerpb holds the generated messages of the wire protocol between
// routers and sidecars.
package peerpb
