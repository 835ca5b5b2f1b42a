package claim

import "fulmarspindle.example/fulmarspindle/fleet"

// Decision tells what becomes of a request whose key is claimed already.
type Decision int

// Decisions.
const (
	// DecisionUnknown answers 409: the claim's router is lost, and whether the
	// request ran is unknown.
	DecisionUnknown Decision = iota
	// DecisionWait waits for the answer of the running attempt at this router.
	DecisionWait
	// DecisionReplay gives the kept answer of this router.
	DecisionReplay
	// DecisionAlreadyRun answers 409: the request ran and its answer is gone.
	DecisionAlreadyRun
	// DecisionAskRouter asks the router that holds the claim.
	DecisionAskRouter
	// DecisionClaim claims the key anew: the earlier attempt did not run.
	DecisionClaim
	// DecisionRetryLater answers 503 with Retry-After: the earlier attempt did
	// not run, and its release is not recorded yet.
	DecisionRetryLater
	// DecisionKeyReused answers 422: the key belongs to another request.
	DecisionKeyReused
)

// Router is a start of a router.
type Router struct {
	ID          fleet.NodeID
	Incarnation fleet.Incarnation
}

// Repeat is what Decide needs to know.
type Repeat struct {
	// Existing is the newest record of the key.
	Existing Record
	// Digest is the digest of the repeated request.
	Digest string
	// Self is this router.
	Self Router
	// HolderLive tells whether the router of the record, with the record's
	// incarnation, is known to be live. It is not used for this router.
	HolderLive bool
	// Answer is the state of the attempt in this router's Answers. It is used
	// only if this router holds the claim.
	Answer AnswerState
}

// Decide tells what becomes of a repeated key. It never lets a request run
// that may have run before.
func Decide(r Repeat) Decision {
	if r.Existing.Digest != r.Digest {
		return DecisionKeyReused
	}
	if r.Existing.State == StateReleased {
		return DecisionClaim
	}
	holder := Router{ID: r.Existing.Router, Incarnation: r.Existing.Incarnation}
	switch {
	case holder == r.Self:
		return decideOwn(r.Answer)
	case holder.ID == r.Self.ID:
		// An earlier incarnation of this router is lost with its answers.
		return DecisionUnknown
	case r.HolderLive:
		return DecisionAskRouter
	default:
		return DecisionUnknown
	}
}

func decideOwn(a AnswerState) Decision {
	switch a {
	case AnswerRunning:
		return DecisionWait
	case AnswerKept:
		return DecisionReplay
	case AnswerGone:
		return DecisionAlreadyRun
	case AnswerNotRun:
		return DecisionRetryLater
	default:
		return DecisionUnknown
	}
}
