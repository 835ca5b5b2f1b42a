// Package partition tests routers that are cut off, frozen, killed or stopped.
package partition
