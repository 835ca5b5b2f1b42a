package dispatch

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// RequestID identifies a request at its router.
type RequestID uint64

// Request is the part of a request that queueing depends on.
type Request struct {
	ID      RequestID
	Service fleet.ServiceID
	Team    fleet.TeamID
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Arrived is when the request was received from its caller. Zero means the
	// time of the event. Requeue requires the original time.
	Arrived time.Time
	// Deadline is when the request times out at its caller. Zero means none.
	Deadline time.Time
	// AffinityKey makes requests with equal keys prefer the same sidecars. Zero
	// means no preference.
	AffinityKey uint64
	// SpillAfter is how long the oldest request of a queue waits before the queue
	// is announced to other regions. Negative means never.
	SpillAfter time.Duration
	// Exclude lists the sidecars that must not run the request.
	Exclude []fleet.NodeID
	// Solo requests run alone on their upstream. The router passes the flag to the
	// sidecar, which enforces it (RequestArrived.Solo).
	Solo bool
}

// Limits bounds the requests that wait at a router. Zero means no limit.
type Limits struct {
	// TeamWaiting bounds the requests in one (service, team) queue.
	TeamWaiting int
	// RouterWaiting bounds the requests in all queues.
	RouterWaiting int
	// RouterBytes bounds the bytes of the requests in all queues.
	RouterBytes int64
}

// RouterConfig configures a Router. Zero fields take the defaults.
type RouterConfig struct {
	// Self identifies this router. It seeds the hash by which different routers
	// choose different sidecars.
	Self     fleet.NodeID
	Location fleet.Location
	// ProbeInterval is the time without a grant after which a queue is announced
	// to more sidecars. Default 10 ms.
	ProbeInterval time.Duration
	// RefreshInterval is the time between repetitions of unchanged demand.
	// Default 500 ms.
	RefreshInterval time.Duration
	// FirstTargets is the number of sidecars that a queue is announced to when a
	// request arrives. Default 2.
	FirstTargets int
	// MaxFanout bounds the sidecars that one queue is announced to at a time.
	// Default 16.
	MaxFanout int
	Limits    Limits
}

// RouterEvent is an input of Router.Step.
type RouterEvent interface{ routerEvent() }

// Arrive adds a new request.
type Arrive struct{ Request Request }

// Requeue returns a bound request that did not run to its place in the queue.
// Limits are not applied again.
type Requeue struct{ Request Request }

// CancelRequest removes a waiting request whose caller disconnected.
type CancelRequest struct{ ID RequestID }

// GrantReceived is a sidecar's offer of one slot to a team. Expires is in terms of
// the router's clock.
type GrantReceived struct {
	Sidecar fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Expires time.Time
}

// RequestEnded reports that a bound request has ended at its sidecar, with any
// outcome. The slot counts as free until the next SidecarLoad.
type RequestEnded struct{ Sidecar fleet.NodeID }

// SidecarUp starts a session with a sidecar. It counts as accepting, with
// unknown slots, until its first SidecarLoad.
type SidecarUp struct {
	Sidecar  fleet.NodeID
	Service  fleet.ServiceID
	Location fleet.Location
}

// SidecarDown ends the session with a sidecar.
type SidecarDown struct{ Sidecar fleet.NodeID }

// SidecarLoad is a sidecar's reported state. While Accepting is false, it is sent
// no demand and its grants are declined.
type SidecarLoad struct {
	Sidecar   fleet.NodeID
	Slots     int
	FreeSlots int
	Accepting bool
}

// TickRouter fires due timers. It is due at Router.NextWake.
type TickRouter struct{}

// StopAccepting refuses all later arrivals. Waiting requests are still dispatched.
type StopAccepting struct{}

// UpdateLimits replaces the limits. Requests that wait already stay.
type UpdateLimits struct{ Limits Limits }

func (Arrive) routerEvent()        {}
func (Requeue) routerEvent()       {}
func (CancelRequest) routerEvent() {}
func (GrantReceived) routerEvent() {}
func (RequestEnded) routerEvent()  {}
func (SidecarUp) routerEvent()     {}
func (SidecarDown) routerEvent()   {}
func (SidecarLoad) routerEvent()   {}
func (TickRouter) routerEvent()    {}
func (StopAccepting) routerEvent() {}
func (UpdateLimits) routerEvent()  {}

// RouterAction is an output of Router.Step.
type RouterAction interface{ routerAction() }

// SendDemand sends the state of one queue to a sidecar. The highest Seq wins;
// Waiting 0 withdraws the demand.
type SendDemand struct {
	Sidecar   fleet.NodeID
	Team      fleet.TeamID
	Seq       uint64
	Waiting   int
	OldestAge time.Duration
}

// Bind sends a request to the sidecar that granted the slot. The request is no
// longer queued; only Requeue returns it to the queue.
type Bind struct {
	Request RequestID
	Sidecar fleet.NodeID
	GrantID uint64
}

// DeclineGrant returns an unused grant. It withdraws the team's demand at that
// sidecar until a SendDemand with a higher Seq.
type DeclineGrant struct {
	Sidecar fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Seq     uint64
}

// Refuse is the final response to a request, which has not run.
type Refuse struct {
	Request RequestID
	Reason  RefuseReason
	// RetryAfter is estimated from the queue's drain rate, between 1 s and 60 s.
	RetryAfter time.Duration
}

func (SendDemand) routerAction()   {}
func (Bind) routerAction()         {}
func (DeclineGrant) routerAction() {}
func (Refuse) routerAction()       {}

// RefuseReason is why a request was refused.
type RefuseReason int

// Reasons of Refuse.
const (
	// ReasonDeadline: the deadline passed while the request waited.
	ReasonDeadline RefuseReason = iota + 1
	// ReasonExpectedWait: the expected wait exceeds the time to the deadline.
	ReasonExpectedWait
	// ReasonTeamLimit: the team's queue is full.
	ReasonTeamLimit
	// ReasonRouterLimit: the limits of the router as a whole are reached.
	ReasonRouterLimit
	// ReasonStopping: the router is stopping.
	ReasonStopping
)

var refuseReasonNames = map[RefuseReason]string{
	ReasonDeadline:     "deadline",
	ReasonExpectedWait: "expected_wait",
	ReasonTeamLimit:    "team_limit",
	ReasonRouterLimit:  "router_limit",
	ReasonStopping:     "stopping",
}

// String returns the reason's name in responses and metrics.
func (r RefuseReason) String() string { return refuseReasonNames[r] }
