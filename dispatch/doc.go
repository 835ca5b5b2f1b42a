// Package dispatch assigns waiting requests to the slots of upstreams.
//
// Requests wait at the Router that holds the caller's connection, in a bounded
// FIFO queue per service and team. Routers announce the number of waiting
// requests to sidecars (demand); a Sidecar with a free slot offers it to one
// router (grant); the router binds the oldest request of that team to the grant
// or declines it. The only requests queued at an upstream are the few that hide
// the round-trip time of a grant (staging).
//
// Router and Sidecar are deterministic state machines: their inputs are events
// and the current time, their outputs are actions, which the caller performs in
// the order returned. Neither is safe for concurrent use.
//
// Messages of one session between a router and a sidecar are delivered in
// order. When a session breaks, both sides receive an event (SidecarDown,
// RouterDown), and messages of the old session must not be delivered after the
// next SidecarUp or RouterUp.
package dispatch
