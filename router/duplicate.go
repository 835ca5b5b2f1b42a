package router

import (
	"context"
	"net/http"
	"sync"

	"go.uber.org/zap"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/claim"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
)

// serveDuplicate responds to a request whose key is claimed by another attempt.
// It returns true if the claim was released and the key may be claimed again.
func (r *Router) serveDuplicate(ctx context.Context, req *caller.Request, held claim.Record, w caller.Responder) (bool, error) {
	session := r.sessions.Get(held.Router)
	_, state := r.responses.Lookup(held.Attempt)
	decision := claim.Decide(claim.Duplicate{
		Existing:      held,
		Digest:        claim.RequestDigest(req.Method, req.Path, req.Body),
		Self:          claim.RouterInstance{ID: r.settings.ID, Incarnation: r.incarnation},
		HolderLive:    session != nil && session.Incarnation() == held.Incarnation,
		ResponseState: state,
	})
	switch decision {
	case claim.DecisionClaim:
		return true, nil
	case claim.DecisionWait, claim.DecisionReplay:
		return false, r.replay(ctx, held.Attempt, w)
	case claim.DecisionQueryHolder:
		return false, r.queryHolder(ctx, session, held, w)
	case claim.DecisionAlreadyRun:
		return false, alreadyRun()
	case claim.DecisionKeyReused:
		return false, keyReused()
	case claim.DecisionRetryLater:
		return false, retryLater("release_pending", "an earlier attempt did not run; its claim is being released")
	default:
		return false, holderUnreachable()
	}
}

func holderUnreachable() *caller.Refusal {
	return caller.Unknown(http.StatusConflict, "holder_lost",
		"the router that claimed this key is not reachable; whether the request ran is unknown")
}

// queryHolder fetches the response from the router that holds the claim.
func (r *Router) queryHolder(ctx context.Context, session *peer.Session, held claim.Record, w caller.Responder) error {
	st, err := session.OpenStream()
	if err != nil {
		return holderUnreachable()
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() { st.Close() })
	defer stop()
	query := &peerpb.AnswerQuery{
		AttemptId: string(held.Attempt),
		Team:      string(held.Scope.Team),
		Service:   string(held.Scope.Service),
		Key:       held.Scope.Key,
	}
	if err := st.SendOpen(&peerpb.StreamOpen{Body: &peerpb.StreamOpen_AnswerQuery{AnswerQuery: query}}); err != nil {
		return holderUnreachable()
	}
	if err := receiveResponse(st, w); err != nil {
		if ctx.Err() != nil {
			return stillRunning(ctx)
		}
		return err
	}
	return nil
}

// receiveResponse reads another router's reply to an AnswerQuery and sends it to
// the caller.
func receiveResponse(st *peer.Stream, w caller.Responder) error {
	f, err := st.Receive()
	if err != nil {
		return holderUnreachable()
	}
	if end := f.GetEnd(); end != nil {
		return refusalFromEnd(end)
	}
	head := f.GetHead()
	if head == nil {
		return holderUnreachable()
	}
	body, err := st.ReceiveBody(claim.DefaultMaxBodyBytes)
	if err != nil {
		return holderUnreachable()
	}
	response := claim.Response{Status: int(head.GetStatus()), Body: body}
	for _, h := range head.GetHeaders() {
		response.Header = append(response.Header, claim.HeaderField{Name: h.GetName(), Values: h.GetValues()})
	}
	return sendResponse(response, w)
}

func refusalFromEnd(end *peerpb.End) error {
	switch end.GetOutcome() {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		return alreadyRun()
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return retryLater("not_run", "the attempt that held the key did not run")
	default:
		return holderUnreachable()
	}
}

// answerQuery replies to another router's AnswerQuery once the attempt has ended.
func (r *Router) answerQuery(ctx context.Context, st *peer.Stream, q *peerpb.AnswerQuery) {
	response, state, err := r.responses.Wait(ctx, claim.AttemptID(q.GetAttemptId()))
	if err != nil {
		return
	}
	if state == claim.ResponseCached {
		err = sendCachedResponse(st, response)
	} else {
		err = st.SendEnd(&peerpb.End{Outcome: outcomeFromState(state)})
	}
	if err != nil {
		r.log.Debug("failed to send a response to another router", zap.Error(err))
	}
}

func sendCachedResponse(st *peer.Stream, response claim.Response) error {
	head := &peerpb.ResponseHead{Status: int32(response.Status)}
	for _, field := range response.Header {
		head.Headers = append(head.Headers, &peerpb.Header{Name: field.Name, Values: field.Values})
	}
	if err := st.Send(&peerpb.Frame{Body: &peerpb.Frame_Head{Head: head}}); err != nil {
		return err
	}
	if err := st.SendData(response.Body); err != nil {
		return err
	}
	return st.SendEnd(&peerpb.End{Outcome: peerpb.Outcome_OUTCOME_COMPLETE, BodyBytes: uint64(len(response.Body))})
}

func outcomeFromState(state claim.ResponseState) peerpb.Outcome {
	switch state {
	case claim.ResponseDiscarded:
		return peerpb.Outcome_OUTCOME_COMPLETE
	case claim.ResponseNotRun:
		return peerpb.Outcome_OUTCOME_NOT_RUN
	default:
		return peerpb.Outcome_OUTCOME_UNKNOWN
	}
}

// maxRefusals limits the number of refusals that a refusalTable keeps.
const maxRefusals = 4096

// refusalTable holds the refusals of attempts that did not run, for the callers
// that wait for them. It evicts the oldest.
type refusalTable struct {
	mu    sync.Mutex
	byID  map[claim.AttemptID]error
	order []claim.AttemptID
}

func newRefusalTable() *refusalTable {
	return &refusalTable{byID: make(map[claim.AttemptID]error)}
}

func (t *refusalTable) put(id claim.AttemptID, cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = cause
	t.order = append(t.order, id)
	if len(t.order) > maxRefusals {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
}

// get returns the refusal of an attempt, or a general one if it was evicted. A
// refusal stays in the table, because several callers may wait for the attempt.
func (t *refusalTable) get(id claim.AttemptID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if cause, ok := t.byID[id]; ok {
		return cause
	}
	return retryLater("not_run", "the attempt did not run")
}
