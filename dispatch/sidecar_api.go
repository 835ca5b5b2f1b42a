package dispatch

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Accounts provides the service received by each team, by which grants are ordered.
type Accounts interface {
	// Account returns the team's normalized service. The team with the lowest value
	// is granted first.
	Account(team fleet.TeamID) float64
	// Reserve adds an estimated charge when a grant is sent.
	Reserve(team fleet.TeamID)
	// Release cancels one reserved charge: the grant was declined, expired or
	// released, or its request arrived, which is charged separately.
	Release(team fleet.TeamID)
}

// SidecarConfig configures a Sidecar. Zero fields take the defaults.
type SidecarConfig struct {
	Location fleet.Location
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Incarnation identifies this process. Grant IDs count up from it, so that a
	// restarted sidecar does not accept grants of the previous process.
	Incarnation fleet.Incarnation
	// StagingDisabled limits outstanding work to Slots.
	StagingDisabled bool
	// GrantExpiryFloor is the minimum time that a grant holds its slot. Default 20 ms.
	GrantExpiryFloor time.Duration
	// GrantExpiryRTTs is that time in round trips to the router, if longer than the
	// minimum. Default 4.
	GrantExpiryRTTs int
	// RefreshInterval is the refresh interval of the routers. Demand expires when it
	// is not refreshed for three intervals. Default 500 ms.
	RefreshInterval time.Duration
}

// Load is the sidecar's state as reported to routers.
type Load struct {
	Slots     int
	FreeSlots int
	Accepting bool
}

// SidecarEvent is an input of Sidecar.Step.
type SidecarEvent interface{ sidecarEvent() }

// RouterUp starts a session with a router. Demand from an earlier session or
// incarnation is discarded.
type RouterUp struct {
	Router      fleet.NodeID
	Incarnation fleet.Incarnation
	Location    fleet.Location
}

// RouterDown ends the session: the router's demand is discarded and its unused
// grants are released.
type RouterDown struct{ Router fleet.NodeID }

// DemandReceived is the state of one team's queue at a router.
type DemandReceived struct {
	Router    fleet.NodeID
	Team      fleet.TeamID
	Seq       uint64
	Waiting   int
	OldestAge time.Duration
}

// GrantDeclined returns a grant and withdraws the team's demand until a higher
// Seq. Seq 0 only returns the grant: its request was bound and then canceled
// before it was sent.
type GrantDeclined struct {
	Router  fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Seq     uint64
}

// RequestArrived reports a request that uses a grant. The request is charged to
// its team's account before this event; the charge of a rejected request is
// refunded after it.
type RequestArrived struct {
	Router  fleet.NodeID
	GrantID uint64
	// RequestID is unique at this sidecar.
	RequestID uint64
	// Solo requests start when no other request is running, and run alone.
	Solo bool
}

// RequestFinished ends a running or staged request, for any reason.
type RequestFinished struct{ RequestID uint64 }

// SetSlots changes the number of requests that the upstream runs concurrently.
type SetSlots struct{ Slots int }

// SetAccepting starts or stops granting. A new Sidecar accepts.
type SetAccepting struct{ Accepting bool }

// RoundTrip is a measured round trip to a router.
type RoundTrip struct {
	Router fleet.NodeID
	RTT    time.Duration
}

// TickSidecar fires due timers. It is due at Sidecar.NextWake.
type TickSidecar struct{}

func (RouterUp) sidecarEvent()        {}
func (RouterDown) sidecarEvent()      {}
func (DemandReceived) sidecarEvent()  {}
func (GrantDeclined) sidecarEvent()   {}
func (RequestArrived) sidecarEvent()  {}
func (RequestFinished) sidecarEvent() {}
func (SetSlots) sidecarEvent()        {}
func (SetAccepting) sidecarEvent()    {}
func (RoundTrip) sidecarEvent()       {}
func (TickSidecar) sidecarEvent()     {}

// SidecarAction is an output of Sidecar.Step.
type SidecarAction interface{ sidecarAction() }

// SendGrant offers one slot to the oldest request of a team at a router.
type SendGrant struct {
	Router  fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	// Expires is how long the slot is reserved.
	Expires time.Duration
}

// StartRequest sends a request to the upstream.
type StartRequest struct{ RequestID uint64 }

// RejectRequest ends a request without running it.
type RejectRequest struct {
	RequestID uint64
	Reason    RejectReason
}

// TeamWaiting reports that a team has begun or ceased to have requests waiting that
// can be granted.
type TeamWaiting struct {
	Team    fleet.TeamID
	Waiting bool
}

func (TeamWaiting) sidecarAction()   {}
func (SendGrant) sidecarAction()     {}
func (StartRequest) sidecarAction()  {}
func (RejectRequest) sidecarAction() {}

// RejectReason is why a request was rejected without having run.
type RejectReason int

// Reasons of RejectRequest.
const (
	// ReasonGrantUnknown: the grant expired, was used or was never sent.
	ReasonGrantUnknown RejectReason = iota + 1
	// ReasonNotAccepting: the sidecar does not accept new work.
	ReasonNotAccepting
)

var rejectReasonNames = map[RejectReason]string{
	ReasonGrantUnknown: "grant-unknown",
	ReasonNotAccepting: "not-accepting",
}

// String returns the reason's name in responses and metrics.
func (r RejectReason) String() string { return rejectReasonNames[r] }
