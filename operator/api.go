// Package operator implements the admin API of a router, its client, and the
// command-line operations that use the client.
package operator

import (
	"context"

	"github.com/rotisserie/eris"

	"fulmarspindle.example/fulmarspindle/config"
	"fulmarspindle.example/fulmarspindle/fleet"
)

// Errors of the admin API and its client.
var (
	// ErrInvalid reports an invalid inventory or request.
	ErrInvalid = eris.New("operator: invalid")
	// ErrConflict reports that another change was accepted first.
	ErrConflict = eris.New("operator: conflicting change")
	// ErrUnauthorized reports a missing or unknown admin token.
	ErrUnauthorized = eris.New("operator: unauthorized")
	// ErrUnavailable reports that the router or the platform can't be reached. A
	// change was not accepted.
	ErrUnavailable = eris.New("operator: unavailable")
	// ErrOutcomeUnknown reports a change that may or may not have been accepted,
	// because its response was lost.
	ErrOutcomeUnknown = eris.New("operator: outcome of the change is unknown")
)

// Publisher validates and publishes changes of the configuration. It is
// implemented by config.Publisher.
type Publisher interface {
	Apply(ctx context.Context, p config.Proposal) (config.Head, error)
	DryRun(ctx context.Context, p config.Proposal) ([]config.Change, error)
	Current(ctx context.Context) (config.Head, config.Inventory, error)
}

// Reporter provides the state of a router.
type Reporter interface {
	Ready() bool
	Status() Status
	Upstreams() []Upstream
	Teams() []Team
	Suspects() []Suspect
}

// Status summarizes the state of a router.
type Status struct {
	Router        fleet.NodeID          `json:"router"`
	Region        fleet.RegionID        `json:"region"`
	FailureDomain fleet.FailureDomainID `json:"failure_domain"`
	Version       string                `json:"version"`
	// Generation is the generation of the configuration in force, or zero if none
	// has been accepted.
	Generation uint64 `json:"generation"`
	// Behind reports that a newer generation has been known for longer than
	// config.DefaultBehindTimeout without being in force here.
	Behind   bool `json:"behind"`
	Draining bool `json:"draining"`
	// Routers and Sidecars are the connected peers.
	Routers  []Peer `json:"routers"`
	Sidecars []Peer `json:"sidecars"`
}

// Peer is a router or sidecar that the router has a session with.
type Peer struct {
	ID     fleet.NodeID   `json:"id"`
	Region fleet.RegionID `json:"region"`
	// RTTMicros is the round trip time in microseconds.
	RTTMicros int64 `json:"rtt_us"`
}

// Upstream is the state of an upstream at this router.
type Upstream struct {
	ID        fleet.NodeID    `json:"id"`
	Service   fleet.ServiceID `json:"service"`
	VM        fleet.VMID      `json:"vm"`
	Connected bool            `json:"connected"`
	Accepting bool            `json:"accepting"`
	// Reason is why the upstream is not eligible for new requests; empty if it is.
	Reason    fleet.Reason `json:"reason,omitempty"`
	Slots     int          `json:"slots"`
	FreeSlots int          `json:"free_slots"`
}

// Team is a team's usage of one service, as known to the router that keeps its account.
type Team struct {
	ID      fleet.TeamID    `json:"id"`
	Service fleet.ServiceID `json:"service"`
	Weight  float64         `json:"weight"`
	// Account is the service that the team has received, normalized by its weight, in
	// cost units.
	Account float64 `json:"account"`
}

// Suspect is a request that was running during upstream crashes.
type Suspect struct {
	Digest  string          `json:"digest"`
	Team    fleet.TeamID    `json:"team"`
	Service fleet.ServiceID `json:"service"`
	// Crashes are the identifiers of the crashes.
	Crashes []string `json:"crashes"`
	// Refused reports whether the request is rejected if it is sent again.
	Refused bool `json:"refused"`
}

// ChangeResponse is the body of the response to an accepted change or a dry run.
type ChangeResponse struct {
	Generation uint64          `json:"generation"`
	ChangeID   string          `json:"change_id,omitempty"`
	Changes    []config.Change `json:"changes,omitempty"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error string `json:"error"`
	// Generation is the generation in force and Changes are the changes since the
	// base, both set on a conflict.
	Generation uint64          `json:"generation,omitempty"`
	Changes    []config.Change `json:"changes,omitempty"`
}
