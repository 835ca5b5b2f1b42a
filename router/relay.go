package router

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"

	"fulmarspindle.example/fulmarspindle/caller"
	"fulmarspindle.example/fulmarspindle/dispatch"
	"fulmarspindle.example/fulmarspindle/fleet"
	"fulmarspindle.example/fulmarspindle/peer"
	"fulmarspindle.example/fulmarspindle/peer/peerpb"
	"fulmarspindle.example/fulmarspindle/telemetry"
)

// sendTimeout limits the time for sending a request to a sidecar.
const sendTimeout = 30 * time.Second

// maxStatus is the highest status of a response.
const maxStatus = 999

// attempt is one dispatch of a job to a sidecar.
type attempt struct {
	id      string
	job     *job
	bind    *dispatch.Bind
	w       caller.Responder
	session *peer.Session
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome peerpb.Outcome
	reason  string
	// crashID identifies the crash of the upstream; it is empty if there was none.
	crashID string
	sidecar fleet.NodeID
	// callerGone is set if writing to the caller failed.
	callerGone bool
	// streaming is set if the response has started and another attempt may resume
	// it.
	streaming bool
}

func unknown(reason string) attemptResult {
	return attemptResult{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: reason}
}

// run dispatches the request and relays the response. The outcome is NOT_RUN only
// if the sidecar reports it or the stream could not be opened.
func (a *attempt) run(ctx context.Context) attemptResult {
	ctx, span := telemetry.StartSpan(ctx, "router.dispatch", attribute.String("sidecar", string(a.bind.Sidecar)))
	defer span.End()
	st, err := a.session.OpenStream()
	if err != nil {
		return attemptResult{outcome: peerpb.Outcome_OUTCOME_NOT_RUN, reason: err.Error()}
	}
	defer st.Close()
	// Closing the stream cancels the request at the sidecar.
	stop := context.AfterFunc(ctx, func() {
		st.Close()
		_ = st.SetDeadline(time.Now())
	})
	defer stop()
	a.job.dispatched = true
	if err := a.send(ctx, st); err != nil {
		return unknown(err.Error())
	}
	return a.relay(st)
}

func (a *attempt) send(ctx context.Context, st *peer.Stream) error {
	if err := st.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return err
	}
	open := &peerpb.StreamOpen{Body: &peerpb.StreamOpen_Dispatch{Dispatch: a.dispatchMessage(ctx)}}
	if err := st.SendOpen(open); err != nil {
		return err
	}
	if err := st.SendData(a.job.req.Body); err != nil {
		return err
	}
	return st.SendEnd(&peerpb.End{BodyBytes: uint64(len(a.job.req.Body))})
}

func (a *attempt) dispatchMessage(ctx context.Context) *peerpb.Dispatch {
	req := a.job.req
	d := &peerpb.Dispatch{
		GrantId:      a.bind.GrantID,
		AttemptId:    a.id,
		Team:         string(req.Team),
		Service:      string(req.Service),
		Method:       req.Method,
		Path:         req.Path,
		BodyBytes:    uint64(len(req.Body)),
		Idempotent:   !req.NonIdempotent,
		Traceparent:  telemetry.Traceparent(ctx),
		Digest:       req.Digest,
		ResumeOffset: a.resumeOffset(),
		Solo:         a.job.solo,
	}
	for name, values := range req.Header {
		d.Headers = append(d.Headers, &peerpb.Header{Name: name, Values: values})
	}
	if deadline, ok := ctx.Deadline(); ok {
		d.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	}
	return d
}

// resumeOffset returns the offset in the response body at which the sidecar
// resumes. It is 0 until the response has started for the caller: what was
// buffered before is then discarded by startResponse.
func (a *attempt) resumeOffset() uint64 {
	if !a.w.Started() {
		return 0
	}
	return a.job.relayedBytes
}

// relay copies the response to the caller until the end frame.
func (a *attempt) relay(st *peer.Stream) attemptResult {
	var received uint64
	var events *wholeEvents
	for {
		f, err := st.Receive()
		if err != nil {
			return a.interrupted(err.Error())
		}
		switch b := f.Body.(type) {
		case *peerpb.Frame_Head:
			if !isFinalStatus(b.Head) {
				return a.interrupted("response with a status that is none")
			}
			events = newWholeEvents(b.Head)
			err = a.startResponse(b.Head)
		case *peerpb.Frame_Data:
			received += uint64(len(b.Data))
			err = a.write(events.next(b.Data))
		case *peerpb.Frame_End:
			res := a.handleEnd(b.End, received)
			if res.outcome != peerpb.Outcome_OUTCOME_COMPLETE {
				return res
			}
			if err = a.write(events.rest()); err == nil {
				return res
			}
		default:
			return a.interrupted("unexpected frame")
		}
		if err != nil {
			return attemptResult{outcome: peerpb.Outcome_OUTCOME_UNKNOWN, reason: err.Error(), callerGone: true}
		}
	}
}

// write passes bytes of the response on to the caller.
func (a *attempt) write(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	a.job.relayedBytes += uint64(len(p))
	return a.w.Write(p)
}

// isFinalStatus reports whether the status of a head is one of a response with a body.
func isFinalStatus(head *peerpb.ResponseHead) bool {
	return head.GetStatus() >= http.StatusOK && head.GetStatus() <= maxStatus
}

// interrupted returns the result of an attempt whose response is incomplete.
func (a *attempt) interrupted(reason string) attemptResult {
	res := unknown(reason)
	res.streaming = a.w.Started()
	return res
}

// startResponse passes the response head to the caller. It does nothing for a
// resumed stream, whose caller already has the head.
func (a *attempt) startResponse(head *peerpb.ResponseHead) error {
	if a.w.Started() {
		return nil
	}
	a.job.relayedBytes = 0
	header := make(http.Header, len(head.GetHeaders()))
	for _, h := range head.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	for _, name := range responseHopHeaders {
		header.Del(name)
	}
	return a.w.Start(int(head.GetStatus()), header)
}

// responseHopHeaders are the response headers that are not passed to the caller:
// the hop-by-hop headers, and the outcome header, which package caller sets.
var responseHopHeaders = []string{
	"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade",
	caller.HeaderOutcome,
}

func (a *attempt) handleEnd(end *peerpb.End, received uint64) attemptResult {
	res := attemptResult{outcome: end.GetOutcome(), reason: end.GetReason(), crashID: end.GetCrashId()}
	switch end.GetOutcome() {
	case peerpb.Outcome_OUTCOME_COMPLETE:
		if end.GetBodyBytes() != received {
			return a.interrupted(eris.Wrapf(peer.ErrTruncated, "got %d of %d bytes", received, end.GetBodyBytes()).Error())
		}
		return res
	case peerpb.Outcome_OUTCOME_NOT_RUN:
		return res
	default:
		res.outcome = peerpb.Outcome_OUTCOME_UNKNOWN
		res.streaming = a.w.Started()
		return res
	}
}
