// Package partition tests that a fleet keeps serving while routers or regions are
// cut off, frozen or stopped, and during a platform outage.
package partition
