package fleet

// Reason is the reason why an upstream may not get new requests.
type Reason string

// Reasons in the order in which they are checked.
const (
	// ReasonNone is the reason of an eligible upstream.
	ReasonNone Reason = ""
	// ReasonNotConnected means that no session with the sidecar is open.
	ReasonNotConnected Reason = "not-connected"
	// ReasonLeavingRule means that an operator's rule takes the VM out of service.
	ReasonLeavingRule Reason = "leaving-rule"
	// ReasonLeavingVM means that the platform's VM list shows it as leaving.
	ReasonLeavingVM Reason = "leaving-vm"
	// ReasonReplaced means that the sidecar runs on an older incarnation of
	// the VM than the one in the platform's VM list.
	ReasonReplaced Reason = "replaced"
	// ReasonDraining means that the sidecar is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonUnhealthy means that the upstream fails its health checks.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonNotConfigured means that the sidecar has no configuration for the
	// upstream. Only sidecars report it.
	ReasonNotConfigured Reason = "not-configured"
)

// LeavingRule is an operator's rule that takes a VM out of service.
type LeavingRule struct {
	// Incarnation is the newest incarnation of the VM to which the rule applies. At
	// zero, it applies to every incarnation until it is removed.
	Incarnation uint64
}

// VMEntry is the entry of a VM in the platform's VM list. It may be out of date.
type VMEntry struct {
	Incarnation uint64
	Leaving     bool
}

// SidecarState is the state that a sidecar reports about itself.
type SidecarState struct {
	// Incarnation is that of the process; zero without an open session.
	Incarnation Incarnation
	// VMIncarnation is the incarnation of the VM that the sidecar runs on;
	// zero if the sidecar doesn't know it.
	VMIncarnation uint64
	// DrainingIncarnation is the incarnation of the last process that reported
	// that it was draining; zero if none did. It doesn't apply to later processes.
	DrainingIncarnation Incarnation
}

// EligibilityInputs are the current facts about an upstream. They are collected anew
// for each decision; none is derived from an earlier decision.
type EligibilityInputs struct {
	// Rule is nil if no rule names the VM.
	Rule *LeavingRule
	// Entry is nil if the platform's VM list lacks the VM or was never read.
	// Neither makes the upstream ineligible: the session with its sidecar is
	// more reliable evidence that the VM is running.
	Entry   *VMEntry
	Sidecar SidecarState
	Healthy bool
}

// Eligible reports whether an upstream may get new requests and, if not, the reason. It
// depends only on its inputs, so no state has to be cleared when an upstream returns
// to service: a newer incarnation of its VM takes precedence over an outdated entry
// that shows the VM leaving and over a rule for an older incarnation. Incarnations of
// VMs are compared only with each other, never with those of processes.
func Eligible(in EligibilityInputs) (bool, Reason) {
	reason := ineligibleReason(in)
	return reason == ReasonNone, reason
}

func ineligibleReason(in EligibilityInputs) Reason {
	switch {
	case in.Sidecar.Incarnation == 0:
		return ReasonNotConnected
	case ruleApplies(in):
		return ReasonLeavingRule
	case vmLeaving(in):
		return ReasonLeavingVM
	case vmReplaced(in):
		return ReasonReplaced
	case in.Sidecar.DrainingIncarnation >= in.Sidecar.Incarnation:
		return ReasonDraining
	case !in.Healthy:
		return ReasonUnhealthy
	}
	return ReasonNone
}

// ruleApplies reports whether a rule applies to the newest incarnation known from the
// VM list or the sidecar. If neither is known, the rule applies.
func ruleApplies(in EligibilityInputs) bool {
	if in.Rule == nil {
		return false
	}
	if in.Rule.Incarnation == 0 {
		return true
	}
	newest := in.Sidecar.VMIncarnation
	if in.Entry != nil {
		newest = max(newest, in.Entry.Incarnation)
	}
	return newest <= in.Rule.Incarnation
}

// vmLeaving reports whether the VM list shows the VM as leaving. It ignores an entry for
// an incarnation older than the one that the sidecar runs on.
func vmLeaving(in EligibilityInputs) bool {
	if in.Entry == nil || !in.Entry.Leaving {
		return false
	}
	return in.Sidecar.VMIncarnation <= in.Entry.Incarnation
}

// vmReplaced reports whether the VM list shows a newer incarnation of the VM than the one
// that the sidecar runs on.
func vmReplaced(in EligibilityInputs) bool {
	if in.Entry == nil || in.Sidecar.VMIncarnation == 0 {
		return false
	}
	return in.Sidecar.VMIncarnation < in.Entry.Incarnation
}
