// Package fleet defines the identifiers used across the fleet and decides which
// upstreams may get new requests: it tracks their health and derives their eligibility.
package fleet

// Identifiers in a fleet. Each is unique among those of its type.
type (
	// NodeID identifies a router or sidecar process.
	NodeID string
	// TeamID identifies a team.
	TeamID string
	// ServiceID identifies a service.
	ServiceID string
	// UpstreamID identifies an upstream. Its sidecar has the same NodeID.
	UpstreamID string
	// VMID identifies a VM of the platform.
	VMID string
	// RegionID identifies a region.
	RegionID string
	// FailureDomainID identifies a failure domain within a region.
	FailureDomainID string
)

// Incarnation orders the starts of one process. It is the start time in Unix
// nanoseconds.
type Incarnation uint64

// Location is the region and failure domain of a process.
type Location struct {
	Region        RegionID
	FailureDomain FailureDomainID
}
