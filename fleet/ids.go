// Package fleet holds the identifiers of the fleet's parts and the decisions
// about membership: which upstreams may receive new work, and when.
package fleet

// Identifiers of the parts of a fleet. They are unique within their kind.
type (
	// NodeID identifies a process: a router or a sidecar.
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

// Location places a process.
type Location struct {
	Region        RegionID
	FailureDomain FailureDomainID
}
