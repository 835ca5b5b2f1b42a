// Package operator is the interface towards operators: the admin API of a
// router, its client, and the commands that use it.
package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Errors of the operators' interface.
var (
	// ErrInvalid reports an inventory or request that was refused.
	ErrInvalid = eris.New("operator: invalid")
	// ErrConflict reports that another change was accepted first.
	ErrConflict = eris.New("operator: conflicting change")
	// ErrUnauthorized reports a missing or unknown admin token.
	ErrUnauthorized = eris.New("operator: unauthorized")
	// ErrUnavailable reports that the router or the platform can't be reached;
	// the change, if any, was not accepted.
	ErrUnavailable = eris.New("operator: unavailable")
	// ErrOutcomeUnknown reports a change that may have been accepted.
	ErrOutcomeUnknown = eris.New("operator: outcome of the change is unknown")
)

// Publisher accepts configurations.
type Publisher interface {
	Apply(ctx context.Context, p config.Proposal) (config.Head, error)
	DryRun(ctx context.Context, p config.Proposal) ([]config.Change, error)
	Current(ctx context.Context) (config.Head, config.Inventory, error)
}

// Reporter tells the state of a router.
type Reporter interface {
	Ready() bool
	Status() Status
	Upstreams() []Upstream
	Teams() []Team
	Suspects() []Suspect
}

// Status is a router's summary.
type Status struct {
	Router        fleet.NodeID          `json:"router"`
	Region        fleet.RegionID        `json:"region"`
	FailureDomain fleet.FailureDomainID `json:"failure_domain"`
	Version       string                `json:"version"`
	// Generation is the configuration in force; zero for none.
	Generation uint64 `json:"generation"`
	Behind     bool   `json:"behind"`
	Draining   bool   `json:"draining"`
	// Routers and Sidecars are the connected peers.
	Routers  []Peer `json:"routers"`
	Sidecars []Peer `json:"sidecars"`
}

// Peer is a connected process.
type Peer struct {
	ID     fleet.NodeID   `json:"id"`
	Region fleet.RegionID `json:"region"`
	// RTTMicros is the round trip time in microseconds.
	RTTMicros int64 `json:"rtt_us"`
}

// Upstream is an upstream as the router sees it.
type Upstream struct {
	ID        fleet.NodeID    `json:"id"`
	Service   fleet.ServiceID `json:"service"`
	VM        fleet.VMID      `json:"vm"`
	Connected bool            `json:"connected"`
	Accepting bool            `json:"accepting"`
	// Reason tells why the upstream gets no new work.
	Reason    fleet.Reason `json:"reason,omitempty"`
	Slots     int          `json:"slots"`
	FreeSlots int          `json:"free_slots"`
}

// Team is a team's account at the router that keeps it.
type Team struct {
	ID      fleet.TeamID    `json:"id"`
	Service fleet.ServiceID `json:"service"`
	Weight  float64         `json:"weight"`
	// Account is the service received by weight, in cost units.
	Account float64 `json:"account"`
}

// Suspect is a request that was running when upstreams crashed.
type Suspect struct {
	Digest  string          `json:"digest"`
	Team    fleet.TeamID    `json:"team"`
	Service fleet.ServiceID `json:"service"`
	Crashes []string        `json:"crashes"`
	Refused bool            `json:"refused"`
}

// ChangeResponse answers an accepted or rehearsed change.
type ChangeResponse struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"change_id,omitempty"`
	Changes    []config.Change `json:"changes,omitempty"`
}

// ErrorResponse is the body of an error answer.
type ErrorResponse struct {
	Error string `json:"error"`
	// Generation and Changes tell what a conflicting change did.
	Generation uint64          `json:"generation,omitempty"`
	Changes    []config.Change `json:"changes,omitempty"`
}
