package dispatch

import (
	"time"

	"fulmarspindle.example/fulmarspindle/fleet"
)

// Accounts tells which team has received the least service.
type Accounts interface {
	// Account returns the team's normalized service. The least is granted first.
	Account(team fleet.TeamID) float64
	// Reserve adds an estimated charge when a grant is sent.
	Reserve(team fleet.TeamID)
	// Release takes one reserved charge back: the grant was declined, expired or
	// dropped, or its request arrived and carries a charge of its own.
	Release(team fleet.TeamID)
}

// SidecarConfig holds the settings of a Sidecar. Zero fields take the defaults.
type SidecarConfig struct {
	Location fleet.Location
	// Slots is how many requests the upstream runs at a time.
	Slots int
	// Incarnation is this process's. Grant ids grow from it, so that a restarted
	// sidecar does not take the grants of its predecessor for its own.
	Incarnation fleet.Incarnation
	// StagingDisabled grants no more than Slots.
	StagingDisabled bool
	// GrantExpiryFloor is the least time that a grant holds its slot. Default 20 ms.
	GrantExpiryFloor time.Duration
	// GrantExpiryRTTs is that time in round trips. Default 4.
	GrantExpiryRTTs int
	// RefreshInterval is the routers' refresh interval. Demand that is not
	// refreshed for three of them is forgotten. Default 500 ms.
	RefreshInterval time.Duration
}

// Load is a sidecar's state as routers see it.
type Load struct {
	Slots     int
	FreeSlots int
	Accepting bool
}

// SidecarEvent is an input of Sidecar.Step.
type SidecarEvent interface{ sidecarEvent() }

// RouterUp starts a session with a router. What an earlier session or
// incarnation told is forgotten.
type RouterUp struct {
	Router      fleet.NodeID
	Incarnation fleet.Incarnation
	Location    fleet.Location
}

// RouterDown ends the session: the router's demand is forgotten and its grants
// without a request are released.
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
// Seq. Seq 0 only returns the grant: its request was bound and given up before
// it was sent.
type GrantDeclined struct {
	Router  fleet.NodeID
	GrantID uint64
	Team    fleet.TeamID
	Seq     uint64
}

// RequestArrived is a request stream for a grant. The request is charged to its
// team's account before this event; a rejected request is given back after it.
type RequestArrived struct {
	Router  fleet.NodeID
	GrantID uint64
	// RequestID is unique at this sidecar.
	RequestID uint64
	// Solo requests start when nothing else runs, and run alone.
	Solo bool
}

// RequestFinished ends a running or staged request, for whatever cause.
type RequestFinished struct{ RequestID uint64 }

// SetSlots changes how many requests the upstream runs at a time.
type SetSlots struct{ Slots int }

// SetAccepting starts or stops granting. A new Sidecar accepts.
type SetAccepting struct{ Accepting bool }

// RoundTrip is a measured round trip to a router.
type RoundTrip struct {
	Router fleet.NodeID
	RTT    time.Duration
}

// TickSidecar is due at Sidecar.NextWake.
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
	// Expires is how long the slot is held.
	Expires time.Duration
}

// StartRequest hands a request to the upstream now.
type StartRequest struct{ RequestID uint64 }

// RejectRequest ends a request that did not run.
type RejectRequest struct {
	RequestID uint64
	Reason    RejectReason
}

// TeamWaiting tells that a team's first request that can be granted waits, or
// that its last one no longer does.
type TeamWaiting struct {
	Team    fleet.TeamID
	Waiting bool
}

func (TeamWaiting) sidecarAction()   {}
func (SendGrant) sidecarAction()     {}
func (StartRequest) sidecarAction()  {}
func (RejectRequest) sidecarAction() {}

// RejectReason says why a request was rejected without having run.
type RejectReason int

// Reasons of RejectRequest.
const (
	// ReasonGrantUnknown: the grant expired, was used or was never sent.
	ReasonGrantUnknown RejectReason = iota + 1
	// ReasonNotAccepting: the sidecar takes no new work.
	ReasonNotAccepting
)

var rejectReasonNames = map[RejectReason]string{
	ReasonGrantUnknown: "grant-unknown",
	ReasonNotAccepting: "not-accepting",
}

// String returns the reason's name in answers and metrics.
func (r RejectReason) String() string { return rejectReasonNames[r] }
