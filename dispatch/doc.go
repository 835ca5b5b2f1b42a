// Package dispatch decides which waiting request is bound to which slot.
//
// Requests wait at the Router that holds the caller's connection, in a bounded
// FIFO queue for each service and team. Routers tell sidecars how much work
// waits (demand); a Sidecar with a free slot offers it to one router (grant);
// the router binds the oldest request of that team to the grant or declines.
// Nothing is queued at an upstream but the few requests that hide the round
// trip of a grant (staging).
//
// Router and Sidecar are deterministic state machines: events and the time go
// in, actions come out, in the order in which they are to be carried out.
// Neither is safe for concurrent use.
//
// Messages of one session between a router and a sidecar are delivered in
// order. When a session breaks, both sides are told (SidecarDown, RouterDown)
// and messages of the old session must not be delivered after the next
// SidecarUp or RouterUp.
package dispatch
