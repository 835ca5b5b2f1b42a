package fleet

// Reason tells why an upstream may not get new work.
type Reason string

// Reasons, in the order in which they are looked for.
const (
	// ReasonNone goes with an eligible upstream.
	ReasonNone Reason = ""
	// ReasonNotConnected means that no session with the sidecar is open.
	ReasonNotConnected Reason = "not-connected"
	// ReasonLeavingRule means that the operators' rules name the VM.
	ReasonLeavingRule Reason = "leaving-rule"
	// ReasonLeavingVM means that the platform's VM list shows it as leaving.
	ReasonLeavingVM Reason = "leaving-vm"
	// ReasonReplaced means that the sidecar runs on an older incarnation of
	// the VM than the platform's VM list shows.
	ReasonReplaced Reason = "replaced"
	// ReasonDraining means that the sidecar is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonUnhealthy means that the upstream fails its health checks.
	ReasonUnhealthy Reason = "unhealthy"
	// ReasonNotConfigured means that no configuration which the sidecar holds
	// names the upstream. Only the sidecar finds it.
	ReasonNotConfigured Reason = "not-configured"
)

// LeavingRule is the operators' rule that takes a VM out of service.
type LeavingRule struct {
	// Incarnation is the newest incarnation of the VM that leaves; zero for
	// any, until the rule is removed.
	Incarnation uint64
}

// VMEntry is the platform's view of a VM. It may lag.
type VMEntry struct {
	Incarnation uint64
	Leaving     bool
}

// SidecarState is what the sidecar says of itself.
type SidecarState struct {
	// Incarnation of the process; zero without an open session.
	Incarnation Incarnation
	// VMIncarnation is the platform's incarnation of the VM that the sidecar
	// runs on; zero if it does not know.
	VMIncarnation uint64
	// DrainingIncarnation is the process that last said that it drains; zero
	// if none did. It does not bind a newer process.
	DrainingIncarnation Incarnation
}

// Inputs are the present facts about an upstream. They are gathered anew for
// each decision; none is derived from an earlier decision.
type Inputs struct {
	// Rule is nil without a rule for the VM.
	Rule *LeavingRule
	// Entry is nil while the platform's VM list does not show the VM or was
	// never read. Neither takes the upstream out of service: the session with
	// its sidecar is better evidence.
	Entry   *VMEntry
	Sidecar SidecarState
	Healthy bool
}

// Eligible tells whether an upstream may get new work and, if not, why. It
// depends on its inputs alone, so nothing has to be cleared when an upstream
// comes back: a newer incarnation of its VM outranks both a lagging "leaving"
// entry and a rule that names an older incarnation. Incarnations of VMs are
// compared to each other only, never to those of processes.
func Eligible(in Inputs) (bool, Reason) {
	reason := ineligibility(in)
	return reason == ReasonNone, reason
}

func ineligibility(in Inputs) Reason {
	switch {
	case in.Sidecar.Incarnation == 0:
		return ReasonNotConnected
	case ruleApplies(in):
		return ReasonLeavingRule
	case entryLeaves(in):
		return ReasonLeavingVM
	case replaced(in):
		return ReasonReplaced
	case in.Sidecar.DrainingIncarnation >= in.Sidecar.Incarnation:
		return ReasonDraining
	case !in.Healthy:
		return ReasonUnhealthy
	}
	return ReasonNone
}

// ruleApplies compares a rule with the newest incarnation that is known from
// either side. An unknown incarnation does not outrank a rule.
func ruleApplies(in Inputs) bool {
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

// entryLeaves ignores an entry about an incarnation older than the one that
// the sidecar runs on.
func entryLeaves(in Inputs) bool {
	if in.Entry == nil || !in.Entry.Leaving {
		return false
	}
	return in.Sidecar.VMIncarnation <= in.Entry.Incarnation
}

func replaced(in Inputs) bool {
	if in.Entry == nil || in.Sidecar.VMIncarnation == 0 {
		return false
	}
	return in.Sidecar.VMIncarnation < in.Entry.Incarnation
}
