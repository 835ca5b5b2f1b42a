package dispatch

import "time"

// Sidecar is the sidecar's side of dispatch.
type Sidecar struct{}

// NewSidecar returns a sidecar without routers that accepts work.
func NewSidecar(SidecarConfig, Accounts) *Sidecar { return &Sidecar{} }

// Step applies an event and returns what is to be done, in order.
func (s *Sidecar) Step(time.Time, SidecarEvent) []SidecarAction { return nil }

// NextWake returns when TickSidecar is due; false if it is not needed.
func (s *Sidecar) NextWake() (time.Time, bool) { return time.Time{}, false }

// Load returns the state that routers are told.
func (s *Sidecar) Load() Load { return Load{} }
