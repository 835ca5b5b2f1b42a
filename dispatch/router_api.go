package dispatch

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// RequestID identifies a request at its router.
type RequestID uint64

// Request is a request as the router's queues see it.
type Request struct {
	ID      RequestID
	Service fleet.ServiceID
	Team    fleet.TeamID
	// Bytes is the memory that the waiting request holds.
	Bytes int64
	// Arrived is when the request came from its caller. Zero means the time of
	// the event. Requeue needs the original time here.
	Arrived time.Time
	// Deadline is when the caller gives up. Zero means none.
	Deadline time.Time
	// AffinityKey prefers the same sidecars for the same key. Zero means none.
	AffinityKey uint64
	// SpillAfter is how long the oldest request of a queue waits before other
	// regions are asked. Negative means never.
	SpillAfter time.Duration
	// Exclude lists sidecars that must not run the request.
	Exclude []fleet.NodeID
	// Solo requests run alone on their upstream. The router carries the flag to
	// the sidecar, which enforces it (RequestArrived.Solo).
	Solo bool
}

// Limits bounds the work that waits at a router. Zero means no limit.
type Limits struct {
	// TeamWaiting bounds the requests in one (service, team) queue.
	TeamWaiting int
	// RouterWaiting bounds the requests in all queues.
	RouterWaiting int
	// RouterBytes bounds the bytes of the requests in all queues.
	RouterBytes int64
}

// RouterConfig holds the settings of a Router. Zero fields take the defaults.
type RouterConfig struct {
	// Self is this router. It spreads the choices of different routers.
	Self     fleet.NodeID
	Location fleet.Location
	// ProbeInterval is the time without a grant after which more sidecars are
	// told of a queue. Default 10 ms.
	ProbeInterval time.Duration
	// RefreshInterval is the time between repetitions of unchanged demand.
	// Default 500 ms.
	RefreshInterval time.Duration
	// FirstTargets is how many sidecars are told on arrival. Default 2.
	FirstTargets int
	// MaxFanout bounds the sidecars that know of one queue. Default 16.
	MaxFanout int
	Limits    Limits
}

// RouterEvent is an input of Router.Step.
type RouterEvent interface{ routerEvent() }

// Arrive adds a new request.
type Arrive struct{ Request Request }

// Requeue returns a bound request that did not run to the head of its queue.
// Limits do not apply to it again.
type Requeue struct{ Request Request }

// CancelRequest drops a waiting request whose caller went away.
type CancelRequest struct{ ID RequestID }

// GrantReceived is a sidecar's offer of one slot to a team. Expires is in the
// router's time.
type GrantReceived struct {
	Sidecar fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Expires time.Time
}

// RequestEnded tells that a bound request has left its sidecar, whatever its
// outcome. The slot counts as free until the sidecar's load says otherwise.
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

// SidecarLoad is a sidecar's state. While Accepting is false it is sent no
// demand and its grants are declined.
type SidecarLoad struct {
	Sidecar   fleet.NodeID
	Slots     int
	FreeSlots int
	Accepting bool
}

// TickRouter is due at Router.NextWake.
type TickRouter struct{}

// StopAccepting refuses every later arrival. Waiting work goes on.
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

// SendDemand tells a sidecar the state of one queue. The highest Seq wins;
// Waiting 0 withdraws.
type SendDemand struct {
	Sidecar   fleet.NodeID
	Team      fleet.TeamID
	Seq       uint64
	Waiting   int
	OldestAge time.Duration
}

// Bind sends a request to the sidecar that granted the slot. The request has
// left its queue; it returns only by Requeue.
type Bind struct {
	Request RequestID
	Sidecar fleet.NodeID
	GrantID uint64
}

// DeclineGrant returns a grant that binds nothing. It withdraws the team's demand at that sidecar
// until a SendDemand with a higher Seq.
type DeclineGrant struct {
	Sidecar fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Seq     uint64
}

// Refuse answers a request at once and for good: it never ran here.
type Refuse struct {
	Request RequestID
	Reason  RefuseReason
	// RetryAfter is between 1 s and 60 s, from the queue's drain rate.
	RetryAfter time.Duration
}

func (SendDemand) routerAction()   {}
func (Bind) routerAction()         {}
func (DeclineGrant) routerAction() {}
func (Refuse) routerAction()       {}

// RefuseReason says why a request was refused.
type RefuseReason int

// Reasons of Refuse.
const (
	// ReasonDeadline: the deadline passed while the request waited.
	ReasonDeadline RefuseReason = iota + 1
	// ReasonExpectedWait: the expected wait is past the deadline.
	ReasonExpectedWait
	// ReasonTeamLimit: the team's queue is full.
	ReasonTeamLimit
	// ReasonRouterLimit: the router is full.
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

// String returns the reason's name in answers and metrics.
func (r RefuseReason) String() string { return refuseReasonNames[r] }
