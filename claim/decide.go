package claim

import "fulmarspindle.example/fulmarspindle/fleet"

// Decision is how to handle a request whose key already has a claim.
type Decision int

// Decisions.
const (
	// DecisionOutcomeUnknown returns 409: it is unknown whether the request ran,
	// for example because the router that holds the claim is gone.
	DecisionOutcomeUnknown Decision = iota
	// DecisionWait waits for the response of the attempt that this router runs.
	DecisionWait
	// DecisionReplay returns the response that this router has cached.
	DecisionReplay
	// DecisionAlreadyRun returns 409: the request ran, and its response is not
	// cached.
	DecisionAlreadyRun
	// DecisionQueryHolder queries the router that holds the claim.
	DecisionQueryHolder
	// DecisionClaim claims the key again: the earlier attempt did not run.
	DecisionClaim
	// DecisionRetryLater returns 503 with Retry-After: the earlier attempt did
	// not run, and its release is not recorded yet.
	DecisionRetryLater
	// DecisionKeyReused returns 422: the key was used for another request.
	DecisionKeyReused
)

// RouterInstance identifies one run of a router process.
type RouterInstance struct {
	ID          fleet.NodeID
	Incarnation fleet.Incarnation
}

// Duplicate describes a request whose key already has a claim.
type Duplicate struct {
	// Existing is the newest record of the key.
	Existing Record
	// Digest is the digest of the new request.
	Digest string
	// Self is the router that received the request.
	Self RouterInstance
	// HolderLive reports whether the router of the record, with the record's
	// incarnation, is known to be live. It is ignored if that router is Self.
	HolderLive bool
	// ResponseState is the state of the attempt in this router's ResponseCache.
	// It is used only if this router holds the claim.
	ResponseState ResponseState
}

// Decide returns how to handle a duplicate request. It never allows a request to
// run that may already have run.
func Decide(d Duplicate) Decision {
	if d.Existing.Digest != d.Digest {
		return DecisionKeyReused
	}
	if d.Existing.State == StateReleased {
		return DecisionClaim
	}
	holder := RouterInstance{ID: d.Existing.Router, Incarnation: d.Existing.Incarnation}
	switch {
	case holder == d.Self:
		return decideOwnAttempt(d.ResponseState)
	case holder.ID == d.Self.ID:
		// An earlier incarnation held the claim; its cache is lost.
		return DecisionOutcomeUnknown
	case d.HolderLive:
		return DecisionQueryHolder
	default:
		return DecisionOutcomeUnknown
	}
}

func decideOwnAttempt(s ResponseState) Decision {
	switch s {
	case ResponsePending:
		return DecisionWait
	case ResponseCached:
		return DecisionReplay
	case ResponseDiscarded:
		return DecisionAlreadyRun
	case ResponseNotRun:
		return DecisionRetryLater
	default:
		return DecisionOutcomeUnknown
	}
}
