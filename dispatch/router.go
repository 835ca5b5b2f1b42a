package dispatch

import "time"

// Router is the router's side of dispatch.
type Router struct{}

// NewRouter returns a router without sidecars.
func NewRouter(RouterConfig) *Router { return &Router{} }

// Step applies an event and returns what is to be done, in order.
func (r *Router) Step(time.Time, RouterEvent) []RouterAction { return nil }

// NextWake returns when TickRouter is due; false if it is not needed.
func (r *Router) NextWake() (time.Time, bool) { return time.Time{}, false }
